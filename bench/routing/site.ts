import {hash32} from '@hibiscusbeam/core';
import type {BaselineName} from './baseline_policies';
import {createBaselinePolicy} from './baseline_policies';
import type {BenchCase, SiteSize} from './cases';
import {FAULT_AT, LOAD_UNTIL} from './cases';
import type {EngineFake} from './engine_fake';
import {createEngineFake} from './engine_fake';
import type {EntryAttempt, EntryPolicy, EntryPort} from './entry_policy';
import type {FakeClock} from './fake_clock';
import {createFakeClock} from './fake_clock';
import type {HibiscusbeamPolicy} from './hibiscusbeam_policy';
import {configureLimits, createHibiscusbeamPolicy} from './hibiscusbeam_policy';
import type {LoadRequest} from './load';
import {createRandom} from './load';
import type {Metrics, RequestRecord} from './metrics';
import {createMetrics} from './metrics';
import {ENGINE, MODEL, VERSION} from './site_configuration';

/** Which policy the entries of a run have. */
export type PolicyName = 'hibiscusbeam' | BaselineName;

/** The brief's figure for a first token. */
export const FIRST_TOKEN_GOAL = 1_900;

/** Callers give up on the whole answer after this. */
export const DEADLINE = 60_000;

/** Heartbeats, and with them load reports. */
export const HEARTBEAT = 500;

/** One way between two processes: within a zone, and across. */
const NEAR_DELAY = 0.5;
const FAR_DELAY = 1;

/** Until membership tells the entries that a target is gone. */
const GONE_DETECTION = 2_000;

/** How long a caller keeps the entry that it was told. */
const ENTRY_KEPT = 30_000;

/** Cache events come so much later than the load, and with gaps. */
const CACHE_EVENT_DELAY = 1_000;
const CACHE_EVENT_GAPS = 0.1;
const MOST_CACHE_HINTS = 64;

/** Tokens that an entry counts before it tells its policy. */
const TOKENS_PER_EVENT = 8;

interface Target {
  readonly name: string;
  readonly zone: string;
  readonly engine: EngineFake;
}

interface Entry {
  readonly name: string;
  readonly zone: string;
  readonly policy: EntryPolicy;
  alive: boolean;
}

interface RunningAttempt extends EntryAttempt {
  readonly entry: string;
  readonly engine: EngineFake;
  reported: number;
  over: boolean;
}

/** Runs one case under one policy and returns what its callers saw. */
export function runSite(
  benchCase: BenchCase,
  policyName: PolicyName,
  size: SiteSize,
  load: readonly LoadRequest[],
  seed: number,
): Metrics {
  const clock = createFakeClock();
  const metrics = createMetrics(load);
  const targets = createTargets(clock, size);
  const byName = new Map(targets.map(target => [target.name, target]));
  const attempts = new Map<string, RunningAttempt>();
  const current = new Map<LoadRequest, string>();
  let attemptCount = 0;

  const createPort = (entry: string, zone: string): EntryPort => ({
    entry,
    zone,
    clock,
    random: createRandom(seed ^ hash32(entry)),
    targets: targets.map(target => target.name),
    send: (request, target, alreadyProduced) =>
      send(entry, zone, request, target, alreadyProduced),
    cancel: attempt => endAttempt(attempt),
    refuse: (request, retryAfter) => {
      const record = metrics.recordOf(request);
      record.refusedAt = clock.now();
      record.retryAfter = retryAfter;
    },
    produced: request => metrics.recordOf(request).produced,
  });

  const send = (
    entry: string,
    zone: string,
    request: LoadRequest,
    targetName: string,
    alreadyProduced: number,
  ): string => {
    const target = byName.get(targetName)!;
    const record = metrics.recordOf(request);
    record.tries += 1;
    attemptCount += 1;
    const attempt: RunningAttempt = {
      attempt: `a${attemptCount}`,
      request,
      target: targetName,
      tries: record.tries,
      entry,
      engine: target.engine,
      reported: alreadyProduced,
      over: false,
    };
    attempts.set(attempt.attempt, attempt);
    current.set(request, attempt.attempt);
    const delay = target.zone === zone ? NEAR_DELAY : FAR_DELAY;
    clock.schedule(delay, () => submit(attempt, record, alreadyProduced));
    return attempt.attempt;
  };

  const submit = (
    attempt: RunningAttempt,
    record: RequestRecord,
    alreadyProduced: number,
  ): void => {
    if (attempt.over) return;
    if (attempt.engine.isDead()) return fail(attempt);
    attempt.engine.submit({
      attempt: attempt.attempt,
      request: attempt.request,
      priority: 0,
      alreadyProduced,
      listener: {
        onToken: produced => deliverToken(attempt, record, produced),
        onFinish: () => finish(attempt, record),
        onFailure: () => fail(attempt),
      },
    });
  };

  const deliverToken = (
    attempt: RunningAttempt,
    record: RequestRecord,
    produced: number,
  ): void => {
    if (attempt.over) return;
    const now = clock.now();
    metrics.recordToken(record, produced, now);
    const policy = entryByName.get(attempt.entry)!.policy;
    const first = !started.has(attempt);
    const count = produced - attempt.reported;
    if (first) started.add(attempt);
    else if (count < TOKENS_PER_EVENT) return;
    attempt.reported = produced;
    policy.onToken(attempt, count, first);
  };
  const started = new WeakSet<RunningAttempt>();

  const finish = (attempt: RunningAttempt, record: RequestRecord): void => {
    if (attempt.over) return;
    record.finishedAt = clock.now();
    endAttempt(attempt.attempt);
    entryByName.get(attempt.entry)!.policy.onEnd(attempt, true);
  };

  const fail = (attempt: RunningAttempt): void => {
    if (attempt.over) return;
    endAttempt(attempt.attempt);
    const entry = entryByName.get(attempt.entry)!;
    if (entry.alive) entry.policy.onFailure(attempt);
  };

  const endAttempt = (attemptId: string): void => {
    const attempt = attempts.get(attemptId);
    if (attempt === undefined) return;
    attempt.over = true;
    attempts.delete(attemptId);
    attempt.engine.cancel(attemptId);
  };

  const giveUp = (request: LoadRequest): void => {
    const attempt = attempts.get(current.get(request) ?? '');
    if (attempt === undefined) return;
    endAttempt(attempt.attempt);
    entryByName.get(attempt.entry)!.policy.onEnd(attempt, false);
  };

  const entries = createEntries(policyName, size, createPort);
  const entryByName = new Map(entries.map(entry => [entry.name, entry]));
  shareHeartbeats(clock, entries, size);
  for (const target of targets) {
    reportRegularly(clock, target, entries, benchCase, seed);
  }
  for (const request of load) {
    clock.schedule(request.arriveAt, () => {
      entryOf(request, entries).policy.onRequest(request);
      clock.schedule(DEADLINE, () => giveUp(request));
    });
  }
  clock.schedule(FAULT_AT, () => {
    startFault(benchCase, clock, targets, entries);
    for (const attempt of [...attempts.values()]) {
      if (!entryByName.get(attempt.entry)!.alive) endAttempt(attempt.attempt);
    }
  });
  clock.run(LOAD_UNTIL + DEADLINE);
  metrics.setCacheCounts(targets.map(target => target.engine.cacheCounts()));
  return metrics;
}

function zoneOf(position: number, size: SiteSize): string {
  return `zone-${position % size.zones}`;
}

function createTargets(clock: FakeClock, size: SiteSize): readonly Target[] {
  return Array.from({length: size.engines}, (_, position) => ({
    name: `engine-${position}`,
    zone: zoneOf(position, size),
    engine: createEngineFake(clock, ENGINE),
  }));
}

function createEntries(
  policyName: PolicyName,
  size: SiteSize,
  createPort: (entry: string, zone: string) => EntryPort,
): readonly Entry[] {
  return Array.from({length: size.entries}, (_, position) => {
    const name = `entry-${position}`;
    const zone = zoneOf(position, size);
    const port = createPort(name, zone);
    const policy =
      policyName === 'hibiscusbeam'
        ? createHibiscusbeamPolicy(port)
        : createBaselinePolicy(policyName, port);
    return {name, zone, policy, alive: true};
  });
}

/** Callers keep an entry for a while; those of a lost entry choose anew. */
function entryOf(request: LoadRequest, entries: readonly Entry[]): Entry {
  const period = Math.floor(
    (request.arriveAt + request.caller * 150) / ENTRY_KEPT,
  );
  const alive = entries.filter(entry => entry.alive);
  return alive[hash32(`${request.caller}/${period}`) % alive.length]!;
}

function shareHeartbeats(
  clock: FakeClock,
  entries: readonly Entry[],
  size: SiteSize,
): void {
  const ours = entries.flatMap(entry =>
    'limits' in entry.policy
      ? [{entry, limits: (entry.policy as HibiscusbeamPolicy).limits}]
      : [],
  );
  for (const {limits} of ours) configureLimits(limits, size.engines);
  const beat = (): void => {
    for (const sender of ours) {
      if (!sender.entry.alive) continue;
      const published = sender.limits.publish(clock.now());
      clock.schedule(FAR_DELAY, () => {
        for (const {limits} of ours) limits.receive(published, clock.now());
      });
    }
    clock.schedule(HEARTBEAT, beat);
  };
  beat();
}

function reportRegularly(
  clock: FakeClock,
  target: Target,
  entries: readonly Entry[],
  benchCase: BenchCase,
  seed: number,
): void {
  const random = createRandom(seed ^ hash32(target.name));
  let cacheSeen: readonly number[] = [];
  const report = (): void => {
    if (target.engine.isDead()) return;
    const {running, queued, cachedPrefixes} = target.engine.load();
    const hints = cacheSeen;
    const delay = benchCase.reportDelay;
    clock.schedule(CACHE_EVENT_DELAY, () => {
      cacheSeen = cachedPrefixes
        .filter(() => random() >= CACHE_EVENT_GAPS)
        .slice(-MOST_CACHE_HINTS);
    });
    clock.schedule(delay, () => {
      for (const entry of entries) {
        if (!entry.alive || target.engine.isDead()) continue;
        entry.policy.onReport({
          target: target.name,
          zone: target.zone,
          service: undefined,
          leaving: false,
          loaded: [{model: MODEL, versionDigest: VERSION}],
          running,
          queued,
          slots: ENGINE.slots,
          age: delay,
          cachedPrefixes: hints,
        });
      }
    });
    clock.schedule(HEARTBEAT, report);
  };
  clock.schedule(random() * HEARTBEAT, report);
}

function startFault(
  benchCase: BenchCase,
  clock: FakeClock,
  targets: readonly Target[],
  entries: readonly Entry[],
): void {
  const {fault} = benchCase;
  switch (fault.kind) {
    case 'none':
      return;
    case 'slowTarget':
      return targets[0]!.engine.setSlowFactor(fault.factor);
    case 'frozenTarget':
      return targets[0]!.engine.freeze();
    case 'zoneGone':
      return loseZone(clock, targets, entries);
  }
}

function loseZone(
  clock: FakeClock,
  targets: readonly Target[],
  entries: readonly Entry[],
): void {
  const zone = targets[0]!.zone;
  for (const lost of entries.filter(entry => entry.zone === zone)) {
    lost.alive = false;
    clock.schedule(GONE_DETECTION, () => {
      for (const entry of entries) entry.policy.onEntryGone(lost.name);
    });
  }
  for (const target of targets.filter(lost => lost.zone === zone)) {
    target.engine.kill();
    clock.schedule(GONE_DETECTION, () => {
      for (const entry of entries) entry.policy.onTargetGone(target.name);
    });
  }
}
