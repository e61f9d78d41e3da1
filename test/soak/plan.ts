import {hash32} from '@hibiscusbeam/core';
import type {StoreFault} from '../fleet/fixtures/host_store';

/** Something that happens in a soak. */
export type Trouble =
  | {readonly kind: 'signal'; readonly entry: number; readonly signal: Signal}
  | {readonly kind: 'store'; readonly fault: StoreFault}
  | {
      readonly kind: 'limit';
      readonly engine: number;
      readonly rate: number | undefined;
    }
  /** The engine says in its answers that it leaves, and ends later. */
  | {readonly kind: 'leave'; readonly engine: number}
  | {readonly kind: 'end'; readonly engine: number}
  /** The engine turns all requests away; undefined ends that. */
  | {
      readonly kind: 'shed';
      readonly engine: number;
      readonly retryAfter: number | undefined;
    }
  /** The engine neither answers nor writes for so many milliseconds. */
  | {
      readonly kind: 'silence';
      readonly engine: number;
      readonly duration: number;
    }
  /** The store is copied; a restore brings that copy back. */
  | {readonly kind: 'copy'}
  | {readonly kind: 'restore'}
  /** The operator wants a zone evacuated, or takes that back. */
  | {
      readonly kind: 'evacuate';
      readonly zone: string;
      readonly isEvacuated: boolean;
    }
  /** All engines of a zone are replaced by ones that are cold. */
  | {
      readonly kind: 'coldReturn';
      readonly zone: string;
      readonly duration: number;
    }
  /** The operator adds a route, or takes it away. */
  | {readonly kind: 'route'; readonly isServed: boolean};

type Signal = 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT';

/** A trouble and when it comes, in milliseconds from the start. */
export interface PlannedTrouble {
  readonly at: number;
  readonly trouble: Trouble;
}

/** Size of a soak. */
export interface SoakSize {
  readonly entries: number;
  readonly engines: number;
  /** Time in which troubles begin, in milliseconds. */
  readonly duration: number;
}

const LONGEST_PAUSE = 1_500;
const LONGEST_FREEZE = 2_500;
const LONGEST_STORE_FAULT = 2_000;
const LIMITED_FOR = 12_000;
const MOST_LIMIT = 4;
const LONGEST_STATEMENT = 6_000;
const MOST_RETRY_AFTER = 2;

/** Versions take so long to be where they were before a restore. */
const LEAST_COPY_AGE = 4_000;
const COPY_AGE_SPREAD = 2_500;
const LONGEST_ROUTE = 4_000;

const FIRST_POWER_LOSS = 2_500;
const LEAST_POWERED = 6_000;
const POWERED_SPREAD = 2_000;
const COPY_BEFORE_LOSS = 1_500;
const POWER_LOSS_SPREAD = 50;
const LONGEST_STORE_OUTAGE = 2_500;

const LEAST_SILENCE = 500;
const SILENCE_SPREAD = 1_500;
const LONGEST_AUDIBLE = 700;

/** Long enough that entries are in touch with the store again. */
const LEAST_CALM = 4_000;
const CALM_SPREAD = 2_000;

/** Zones of the engines, in turn. */
export const ENGINE_ZONES: readonly string[] = ['north', 'south', 'west'];

const FIRST_EVACUATION = 1_000;
const LEAST_EVACUATED = 4_000;
const EVACUATED_SPREAD = 2_500;
const LEAST_BETWEEN = 2_500;
const BETWEEN_SPREAD = 2_000;
const COLD_FOR = 3_000;

const STORE_FAULTS: readonly StoreFault[] = [
  'busy',
  'silent',
  'answerLost',
  'historyLost',
];

/** Plans the troubles of a seed; they overlap and come in series. */
export function planTroubles(
  seed: number,
  {entries, engines, duration}: SoakSize,
): readonly PlannedTrouble[] {
  const random = createRandom(seed);
  const planned: PlannedTrouble[] = [];
  const add = (at: number, trouble: Trouble): void =>
    void planned.push({at, trouble});
  for (let at = 0; at < duration; at += random(LONGEST_PAUSE)) {
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
        add(at + random(LONGEST_FREEZE), {
          kind: 'signal',
          entry,
          signal: 'SIGCONT',
        });
        break;
      case 3: {
        const fault = STORE_FAULTS[random(STORE_FAULTS.length)] ?? 'busy';
        add(at, {kind: 'store', fault});
        add(at + random(LONGEST_STORE_FAULT), {kind: 'store', fault: 'none'});
        break;
      }
      default: {
        const engine = random(engines);
        const rate = 1 + random(MOST_LIMIT);
        add(at, {kind: 'limit', engine, rate});
        const until = Math.min(at + LIMITED_FOR, duration);
        add(until, {kind: 'limit', engine, rate: undefined});
      }
    }
  }
  return planned.sort((one, other) => one.at - other.at);
}

/** Plans what targets say of themselves, apart from the other troubles. */
export function planStatements(
  seed: number,
  {engines, duration}: SoakSize,
): readonly PlannedTrouble[] {
  const random = createRandom(`${seed} statements`);
  const planned: PlannedTrouble[] = [];
  for (let at = 0; at < duration; at += random(LONGEST_PAUSE)) {
    const engine = random(engines);
    const until = Math.min(duration, at + random(LONGEST_STATEMENT));
    if (random(2) === 0) {
      planned.push({at, trouble: {kind: 'leave', engine}});
      planned.push({at: until, trouble: {kind: 'end', engine}});
    } else {
      const retryAfter = 1 + random(MOST_RETRY_AFTER);
      planned.push({at, trouble: {kind: 'shed', engine, retryAfter}});
      const over: Trouble = {kind: 'shed', engine, retryAfter: undefined};
      planned.push({at: until, trouble: over});
    }
  }
  return planned;
}

/** Plans restores of the store, and configurations between them. */
export function planRestores(
  seed: number,
  {duration}: SoakSize,
): readonly PlannedTrouble[] {
  const random = createRandom(`${seed} restores`);
  const planned: PlannedTrouble[] = [];
  let at = 0;
  while (at < duration) {
    planned.push({at, trouble: {kind: 'copy'}});
    at += LEAST_COPY_AGE + random(COPY_AGE_SPREAD);
    planned.push({at, trouble: {kind: 'restore'}});
    at += LEAST_CALM + random(CALM_SPREAD);
  }
  let isServed = false;
  for (at = 0; at < duration; at += random(LONGEST_ROUTE)) {
    isServed = !isServed;
    planned.push({at, trouble: {kind: 'route', isServed}});
  }
  return planned;
}

/** Plans sound targets that fall silent and go on. */
export function planSilences(
  seed: number,
  {engines, duration}: SoakSize,
): readonly PlannedTrouble[] {
  const random = createRandom(`${seed} silences`);
  const planned: PlannedTrouble[] = [];
  for (let at = 0; at < duration; at += random(LONGEST_AUDIBLE)) {
    const silence = LEAST_SILENCE + random(SILENCE_SPREAD);
    const engine = random(engines);
    const trouble = {kind: 'silence', engine, duration: silence} as const;
    planned.push({at, trouble});
  }
  return planned;
}

/**
 * Plans losses of power right after a configuration was acknowledged; the store
 * is back before the entries, after them, or from a copy.
 */
export function planPowerLosses(
  seed: number,
  {entries, duration}: SoakSize,
): readonly PlannedTrouble[] {
  const random = createRandom(`${seed} power`);
  const planned: PlannedTrouble[] = [];
  let isServed = false;
  for (
    let at = FIRST_POWER_LOSS;
    at < duration;
    at += LEAST_POWERED + random(POWERED_SPREAD)
  ) {
    isServed = !isServed;
    planned.push({at: at - COPY_BEFORE_LOSS, trouble: {kind: 'copy'}});
    planned.push({at, trouble: {kind: 'route', isServed}});
    const lostAt = at + 1;
    for (let entry = 0; entry < entries; entry += 1) {
      planned.push({
        at: lostAt + random(POWER_LOSS_SPREAD),
        trouble: {kind: 'signal', entry, signal: 'SIGKILL'},
      });
    }
    const backAt = lostAt + random(LONGEST_STORE_OUTAGE);
    planned.push({at: lostAt, trouble: {kind: 'store', fault: 'silent'}});
    planned.push({at: backAt, trouble: {kind: 'store', fault: 'none'}});
    if (random(3) === 0) planned.push({at: backAt, trouble: {kind: 'restore'}});
  }
  return planned;
}

/** Plans evacuations that overlap, and zones that return cold after some. */
export function planEvacuations(
  seed: number,
  {duration}: SoakSize,
): readonly PlannedTrouble[] {
  const random = createRandom(`${seed} evacuations`);
  const planned: PlannedTrouble[] = [];
  let turn = random(ENGINE_ZONES.length);
  for (
    let at = FIRST_EVACUATION;
    at < duration - LEAST_EVACUATED;
    at += LEAST_BETWEEN + random(BETWEEN_SPREAD)
  ) {
    turn += 1;
    const zone = ENGINE_ZONES[turn % ENGINE_ZONES.length] ?? 'north';
    const lasting = LEAST_EVACUATED + random(EVACUATED_SPREAD);
    const until = Math.min(duration, at + lasting);
    const evacuate = {kind: 'evacuate', zone} as const;
    planned.push({at, trouble: {...evacuate, isEvacuated: true}});
    planned.push({at: until, trouble: {...evacuate, isEvacuated: false}});
    const cold = {kind: 'coldReturn', zone, duration: COLD_FOR} as const;
    if (random(2) === 0) planned.push({at: until, trouble: cold});
  }
  return planned;
}

/** Whole numbers from 0 to below a bound, the same for a seed. */
function createRandom(seed: number | string): (bound: number) => number {
  let drawn = 0;
  return bound => {
    drawn += 1;
    return hash32(`${seed} ${drawn}`) % bound;
  };
}
