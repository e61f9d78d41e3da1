import {hash32} from '@hibiscusbeam/core';
import type {BenchCase, SiteSize} from './cases';
import {FAULT_START_MS, LOAD_END_MS} from './cases';
import type {FakeEngine} from './fake_engine';
import type {EntryAttempt, EntryPort} from './entry_policy';
import {createFakeClock} from './fake_clock';
import {startFault} from './faults';
import {reportRegularly, shareHeartbeats} from './heartbeats';
import type {LoadRequest} from './load';
import {createRandom} from './load';
import type {PolicyName} from './members';
import {
  createEntries,
  createTargets,
  chooseEntry,
  heldTargets,
} from './members';
import type {Metrics, RequestRecord} from './metrics';
import {createMetrics} from './metrics';
import {DEADLINE_MS, CROSS_ZONE_DELAY_MS, IN_ZONE_DELAY_MS} from './timing';

/** Number of tokens that are reported to the policy in one event. */
const TOKENS_PER_EVENT = 8;

interface RunningAttempt extends EntryAttempt {
  readonly entry: string;
  readonly engine: FakeEngine;
  reported: number;
  over: boolean;
}

/** Runs one case with one policy and returns its metrics. */
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
    targets: heldTargets(policyName, entry, size),
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
    const delay = target.zone === zone ? IN_ZONE_DELAY_MS : CROSS_ZONE_DELAY_MS;
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
      chooseEntry(request, entries).policy.onRequest(request);
      clock.schedule(DEADLINE_MS, () => giveUp(request));
    });
  }
  clock.schedule(FAULT_START_MS, () => {
    startFault(benchCase, clock, targets, entries);
    for (const attempt of [...attempts.values()]) {
      if (!entryByName.get(attempt.entry)!.alive) endAttempt(attempt.attempt);
    }
  });
  clock.run(LOAD_END_MS + DEADLINE_MS);
  metrics.setCacheCounts(targets.map(target => target.engine.cacheCounts()));
  return metrics;
}
