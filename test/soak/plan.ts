import {hash32} from '@hibiscusbeam/core';
import type {StoreFault} from '../fleet/fixtures/host_store';

/** A fault that is injected into a soak run. */
export type SoakFault =
  | {readonly kind: 'signal'; readonly entry: number; readonly signal: Signal}
  | {readonly kind: 'store'; readonly fault: StoreFault}
  | {
      readonly kind: 'limit';
      readonly engine: number;
      readonly rate: number | undefined;
    }
  /** The engine announces in its answers that it leaves, and ends later. */
  | {readonly kind: 'leave'; readonly engine: number}
  | {readonly kind: 'end'; readonly engine: number}
  /** The engine refuses all requests; undefined ends the fault. */
  | {
      readonly kind: 'shed';
      readonly engine: number;
      readonly retryAfter: number | undefined;
    }
  /** The engine sends nothing for `duration` milliseconds. */
  | {
      readonly kind: 'silence';
      readonly engine: number;
      readonly duration: number;
    }
  /** The store is copied; `restore` replaces its content by the copy. */
  | {readonly kind: 'copy'}
  | {readonly kind: 'restore'}
  /** The operator starts or ends the evacuation of a zone. */
  | {
      readonly kind: 'evacuate';
      readonly zone: string;
      readonly isEvacuated: boolean;
    }
  /** All engines of a zone are replaced by cold ones. */
  | {
      readonly kind: 'coldReturn';
      readonly zone: string;
      readonly duration: number;
    }
  /** The operator adds or removes a route. */
  | {readonly kind: 'route'; readonly isServed: boolean};

type Signal = 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT';

/** A fault and its time, in milliseconds from the start. */
export interface PlannedFault {
  readonly at: number;
  readonly fault: SoakFault;
}

/** Size of a soak run. */
export interface SoakSize {
  readonly entries: number;
  readonly engines: number;
  /** Time in which faults are started, in milliseconds. */
  readonly duration: number;
}

const MAX_PAUSE_MS = 1_500;
const MAX_FREEZE_MS = 2_500;
const MAX_STORE_FAULT_MS = 2_000;
const LIMIT_DURATION_MS = 12_000;
const MAX_LIMIT = 4;
const MAX_STATEMENT_MS = 6_000;
const MAX_RETRY_AFTER_SECONDS = 2;

/** Minimum age of a copy; the store's versions must have grown meanwhile. */
const MIN_COPY_AGE_MS = 4_000;
const COPY_AGE_SPREAD_MS = 2_500;
const MAX_ROUTE_MS = 4_000;

const FIRST_POWER_LOSS_MS = 2_500;
const MIN_POWERED_MS = 6_000;
const POWERED_SPREAD_MS = 2_000;
const COPY_BEFORE_LOSS_MS = 1_500;
const POWER_LOSS_SPREAD_MS = 50;
const MAX_STORE_OUTAGE_MS = 2_500;

const MIN_SILENCE_MS = 500;
const SILENCE_SPREAD_MS = 1_500;
const MAX_BETWEEN_SILENCES_MS = 700;

/** Long enough for all entries to reconnect to the store. */
const MIN_CALM_MS = 4_000;
const CALM_SPREAD_MS = 2_000;

/** Zones that are assigned to engines in turn. */
export const ENGINE_ZONES: readonly string[] = ['north', 'south', 'west'];

const FIRST_EVACUATION_MS = 1_000;
const MIN_EVACUATED_MS = 4_000;
const EVACUATED_SPREAD_MS = 2_500;
const MIN_BETWEEN_EVACUATIONS_MS = 2_500;
const BETWEEN_EVACUATIONS_SPREAD_MS = 2_000;
const COLD_DURATION_MS = 3_000;

const STORE_FAULTS: readonly StoreFault[] = [
  'busy',
  'silent',
  'answerLost',
  'historyLost',
];

/** Plans the basic faults of a seed, which may overlap. */
export function planBasicFaults(
  seed: number,
  {entries, engines, duration}: SoakSize,
): readonly PlannedFault[] {
  const random = createRandom(seed);
  const planned: PlannedFault[] = [];
  const add = (at: number, fault: SoakFault): void =>
    void planned.push({at, fault});
  for (let at = 0; at < duration; at += random(MAX_PAUSE_MS)) {
    const entry = random(entries);
    switch (random(5)) {
      case 0:
        add(at, {kind: 'signal', entry, signal: 'SIGKILL'});
        break;
      case 1:
        add(at, {kind: 'signal', entry, signal: 'SIGTERM'});
        break;
      case 2:
        add(at, {kind: 'signal', entry, signal: 'SIGSTOP'});
        add(at + random(MAX_FREEZE_MS), {
          kind: 'signal',
          entry,
          signal: 'SIGCONT',
        });
        break;
      case 3: {
        const fault = STORE_FAULTS[random(STORE_FAULTS.length)] ?? 'busy';
        add(at, {kind: 'store', fault});
        add(at + random(MAX_STORE_FAULT_MS), {kind: 'store', fault: 'none'});
        break;
      }
      default: {
        const engine = random(engines);
        const rate = 1 + random(MAX_LIMIT);
        add(at, {kind: 'limit', engine, rate});
        const until = Math.min(at + LIMIT_DURATION_MS, duration);
        add(until, {kind: 'limit', engine, rate: undefined});
      }
    }
  }
  return planned.sort((one, other) => one.at - other.at);
}

/** Plans announcements by targets that they leave or shed load. */
export function planStatements(
  seed: number,
  {engines, duration}: SoakSize,
): readonly PlannedFault[] {
  const random = createRandom(`${seed} statements`);
  const planned: PlannedFault[] = [];
  for (let at = 0; at < duration; at += random(MAX_PAUSE_MS)) {
    const engine = random(engines);
    const until = Math.min(duration, at + random(MAX_STATEMENT_MS));
    if (random(2) === 0) {
      planned.push({at, fault: {kind: 'leave', engine}});
      planned.push({at: until, fault: {kind: 'end', engine}});
    } else {
      const retryAfter = 1 + random(MAX_RETRY_AFTER_SECONDS);
      planned.push({at, fault: {kind: 'shed', engine, retryAfter}});
      const over: SoakFault = {kind: 'shed', engine, retryAfter: undefined};
      planned.push({at: until, fault: over});
    }
  }
  return planned;
}

/** Plans restores of the store and configuration changes between them. */
export function planRestores(
  seed: number,
  {duration}: SoakSize,
): readonly PlannedFault[] {
  const random = createRandom(`${seed} restores`);
  const planned: PlannedFault[] = [];
  let at = 0;
  while (at < duration) {
    planned.push({at, fault: {kind: 'copy'}});
    at += MIN_COPY_AGE_MS + random(COPY_AGE_SPREAD_MS);
    planned.push({at, fault: {kind: 'restore'}});
    at += MIN_CALM_MS + random(CALM_SPREAD_MS);
  }
  let isServed = false;
  for (at = 0; at < duration; at += random(MAX_ROUTE_MS)) {
    isServed = !isServed;
    planned.push({at, fault: {kind: 'route', isServed}});
  }
  return planned;
}

/** Plans healthy targets that fall silent and then resume. */
export function planSilences(
  seed: number,
  {engines, duration}: SoakSize,
): readonly PlannedFault[] {
  const random = createRandom(`${seed} silences`);
  const planned: PlannedFault[] = [];
  for (let at = 0; at < duration; at += random(MAX_BETWEEN_SILENCES_MS)) {
    const silence = MIN_SILENCE_MS + random(SILENCE_SPREAD_MS);
    const engine = random(engines);
    const fault = {kind: 'silence', engine, duration: silence} as const;
    planned.push({at, fault});
  }
  return planned;
}

/**
 * Plans power losses right after a configuration was acknowledged. The store
 * returns before the entries, after them, or restored from a copy.
 */
export function planPowerLosses(
  seed: number,
  {entries, duration}: SoakSize,
): readonly PlannedFault[] {
  const random = createRandom(`${seed} power`);
  const planned: PlannedFault[] = [];
  let isServed = false;
  for (
    let at = FIRST_POWER_LOSS_MS;
    at < duration;
    at += MIN_POWERED_MS + random(POWERED_SPREAD_MS)
  ) {
    isServed = !isServed;
    planned.push({at: at - COPY_BEFORE_LOSS_MS, fault: {kind: 'copy'}});
    planned.push({at, fault: {kind: 'route', isServed}});
    const lostAt = at + 1;
    for (let entry = 0; entry < entries; entry += 1) {
      planned.push({
        at: lostAt + random(POWER_LOSS_SPREAD_MS),
        fault: {kind: 'signal', entry, signal: 'SIGKILL'},
      });
    }
    const backAt = lostAt + random(MAX_STORE_OUTAGE_MS);
    planned.push({at: lostAt, fault: {kind: 'store', fault: 'silent'}});
    planned.push({at: backAt, fault: {kind: 'store', fault: 'none'}});
    if (random(3) === 0) planned.push({at: backAt, fault: {kind: 'restore'}});
  }
  return planned;
}

/** Plans overlapping evacuations; some zones return cold afterwards. */
export function planEvacuations(
  seed: number,
  {duration}: SoakSize,
): readonly PlannedFault[] {
  const random = createRandom(`${seed} evacuations`);
  const planned: PlannedFault[] = [];
  let turn = random(ENGINE_ZONES.length);
  for (
    let at = FIRST_EVACUATION_MS;
    at < duration - MIN_EVACUATED_MS;
    at += MIN_BETWEEN_EVACUATIONS_MS + random(BETWEEN_EVACUATIONS_SPREAD_MS)
  ) {
    turn += 1;
    const zone = ENGINE_ZONES[turn % ENGINE_ZONES.length] ?? 'north';
    const evacuatedFor = MIN_EVACUATED_MS + random(EVACUATED_SPREAD_MS);
    const until = Math.min(duration, at + evacuatedFor);
    const evacuate = {kind: 'evacuate', zone} as const;
    planned.push({at, fault: {...evacuate, isEvacuated: true}});
    planned.push({at: until, fault: {...evacuate, isEvacuated: false}});
    const cold = {
      kind: 'coldReturn',
      zone,
      duration: COLD_DURATION_MS,
    } as const;
    if (random(2) === 0) planned.push({at: until, fault: cold});
  }
  return planned;
}

/** Deterministic random integers from 0 to below a bound. */
function createRandom(seed: number | string): (bound: number) => number {
  let drawn = 0;
  return bound => {
    drawn += 1;
    return hash32(`${seed} ${drawn}`) % bound;
  };
}
