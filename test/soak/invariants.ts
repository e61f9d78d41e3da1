import type {EngineRun, HostEngine} from '../fleet/fixtures/host_engine';
import {partViolations} from './prompt_parts';

/** Time within which observations of one entry reach all entries. */
const SYNC_MS = 3_000;

/** Allowed attempts of a target-crashing request after that time. */
const MAX_LATE_ATTEMPTS = 3;

/** Bound on the draining of targets. */
const DRAINING_BOUND_MS = 2_000;

/** Time within which an entry applies a request to back off. */
const BACKOFF_NOTICE_MS = 500;
const MAX_ATTEMPTS_DURING_BACKOFF = 2;

/** Bound on the age of configurations. */
const CONFIGURATION_BOUND_MS = 2_000;

/** Refusal reasons when data read from the store is too old. */
const OUTDATED_REASONS = ['outdatedTargets', 'staleConfiguration'];

/** Reason with which an entry abandons a target that sends nothing. */
const SILENCE = 'silence';

const LIMIT_WINDOW_MS = 4_000;
const SECOND_MS = 1_000;

/** Why a caller has no complete answer. */
export type CallerFailure =
  /** The entry accepted no connection. */
  | 'notConnected'
  /** The connection was closed, or the attempt timed out. */
  | 'noAnswer';

/** The outcome of one attempt, as seen by its caller. */
export interface CallerRecord {
  readonly requestId: string;
  /** Number of the entry that received the request. */
  readonly entry: number;
  readonly path: string;
  /** HTTP status; undefined without a complete answer. */
  readonly status: number | undefined;
  /** The reason, if there is no complete answer. */
  readonly failure: CallerFailure | undefined;
  readonly text: string;
  /** Seal of the target that answered, if the answer has one. */
  readonly seal: string | undefined;
  /** Milliseconds of a monotonic clock. */
  readonly sentAt: number;
  readonly endedAt: number;
}

/** A time span in which a target stated a rate limit. */
export interface LimitSpan {
  readonly engine: HostEngine;
  readonly rate: number;
  readonly from: number;
  readonly until: number;
}

/** When the operator's configuration added or removed the probed route. */
export interface RouteSpan {
  readonly at: number;
  readonly isServed: boolean;
}

/** A time span in which the operator's table had an evacuation row. */
export interface EvacuationSpan {
  readonly zone: string;
  readonly from: number;
  readonly until: number;
}

/** A time span in which a target was listed as cold. */
export interface ColdSpan {
  readonly engine: HostEngine;
  readonly from: number;
  readonly until: number;
}

/** The records of a soak run. */
export interface SoakRecords {
  readonly callers: readonly CallerRecord[];
  readonly engines: readonly HostEngine[];
  readonly limits: readonly LimitSpan[];
  readonly routes: readonly RouteSpan[];
  readonly evacuations: readonly EvacuationSpan[];
  /** Bound on evacuations, in milliseconds. */
  readonly evacuationBound: number;
  readonly zoneOf: (engine: HostEngine) => string | undefined;
  readonly coldSpans: readonly ColdSpan[];
  /** Requests per second that a cold target accepts from all entries. */
  readonly coldRate: number;
  /** Whether no fault of the store started or ended in a time span. */
  readonly isStoreStable: (from: number, until: number) => boolean;
  /** Body of the request that crashes its target. */
  readonly crashing: string;
  /** Whether an entry was not stopped, killed or frozen in a time span. */
  readonly isCalm: (entry: number, from: number, until: number) => boolean;
  /** Whether an entry was neither killed nor frozen in a time span. */
  readonly isRunning: (entry: number, from: number, until: number) => boolean;
  /** Whether a stopping entry no longer accepts requests at a time. */
  readonly isClosing: (entry: number, at: number) => boolean;
}

/** Checks all invariants and describes each violation. */
export function findViolations(records: SoakRecords): readonly string[] {
  return [
    ...unsafeRequestsRunTwice(records),
    ...refusedRequestsRun(records),
    ...incompleteAnswers(records),
    ...crashingAttempts(records),
    ...partViolations(records),
    ...exceededLimits(records),
    ...attemptsToLeaving(records),
    ...attemptsDuringBackoff(records),
    ...attemptsToEvacuated(records),
    ...exceededColdRates(records),
    ...answersByOldConfiguration(records),
    ...outdatedRefusals(records),
    ...unanswered(records),
    ...abandonedAttempts(records),
  ];
}

function runsOf({engines}: SoakRecords, requestId: string) {
  return engines.flatMap(engine =>
    engine.runs
      .filter(run => run.requestId === requestId)
      .map(({begunAt}) => ({engine, begunAt})),
  );
}

function unsafeRequestsRunTwice(records: SoakRecords): readonly string[] {
  return records.callers
    .filter(({path}) => path.startsWith('/unsafe/'))
    .filter(({requestId}) => runsOf(records, requestId).length > 1)
    .map(({requestId}) => `unsafe request ${requestId} ran twice`);
}

function refusedRequestsRun(records: SoakRecords): readonly string[] {
  return records.callers
    .filter(({status}) => status === 503)
    .filter(({requestId}) => runsOf(records, requestId).length > 0)
    .map(
      ({requestId}) => `request ${requestId} was reported as not run but ran`,
    );
}

function incompleteAnswers(records: SoakRecords): readonly string[] {
  return records.callers
    .filter(({status}) => status === 200)
    .filter(({requestId, path, text}) => {
      const ran = runsOf(records, requestId);
      if (path.startsWith('/stream/')) return !isWholeStream(text);
      return !ran.some(({engine}) => text === `done by ${engine.instance}`);
    })
    .map(
      ({requestId, text}) => `answer of ${requestId} is not complete: ${text}`,
    );
}

function isWholeStream(text: string): boolean {
  const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(match =>
    Number(match[1]),
  );
  return ids.length > 0 && ids.every((id, index) => id === index + 1);
}

function crashingAttempts(records: SoakRecords): readonly string[] {
  const attempts = records.engines
    .flatMap(({runs}) => runs)
    .filter(({body}) => body === records.crashing)
    .sort((one, other) => one.begunAt - other.begunAt);
  const third = attempts[2];
  if (third === undefined) return [];
  const late = attempts
    .filter(({begunAt}) => begunAt > third.begunAt + SYNC_MS)
    .filter(run => isByCalmEntry(records, run));
  return late.length > MAX_LATE_ATTEMPTS
    ? [`a target-crashing request was sent ${late.length} more times`]
    : [];
}

function exceededLimits(records: SoakRecords): readonly string[] {
  return records.limits.flatMap(({engine, rate, from, until}) => {
    const max = (1.5 * rate * LIMIT_WINDOW_MS) / SECOND_MS + 5;
    const times = engine.runs
      .filter(({begunAt}) => begunAt >= from + SYNC_MS && begunAt < until)
      .filter(run => isByCalmEntry(records, run))
      .map(({begunAt}) => begunAt);
    return times.flatMap(first => {
      const last = first + LIMIT_WINDOW_MS;
      const count = times.filter(at => at >= first && at < last).length;
      if (count <= max) return [];
      return [`${engine.instance} got ${count} requests, ${max} allowed`];
    });
  });
}

/** Whether the entry of a run was undisturbed for long enough before it. */
function isByCalmEntry(
  records: SoakRecords,
  {requestId, begunAt}: EngineRun,
): boolean {
  const caller = callerOf(records, requestId);
  if (caller === undefined) return false;
  return records.isCalm(caller.entry, begunAt - SYNC_MS, begunAt);
}

/** Attempts at a target long after their entry forwarded that it leaves. */
function attemptsToLeaving(records: SoakRecords): readonly string[] {
  return records.engines.flatMap(engine =>
    engine.arrivals.flatMap(({requestId, at}) => {
      const caller = callerOf(records, requestId);
      if (caller === undefined) return [];
      const isInformed = engine.arrivals.some(earlier => {
        if (!earlier.reportedLeaving) return false;
        const report = callerOf(records, earlier.requestId);
        if (report?.entry !== caller.entry) return false;
        if (report.seal !== `seal-of-${engine.instance}`) return false;
        if (report.endedAt + DRAINING_BOUND_MS >= caller.sentAt) return false;
        return records.isCalm(caller.entry, report.endedAt, at);
      });
      return isInformed
        ? [`${requestId} sent to ${engine.instance}, leaving`]
        : [];
    }),
  );
}

function attemptsDuringBackoff(records: SoakRecords): readonly string[] {
  return records.engines.flatMap(({instance, arrivals}) =>
    arrivals.flatMap(({requestId, at: backoffAt, backoff}) => {
      const caller = callerOf(records, requestId);
      if (backoff === undefined || caller === undefined) return [];
      const until = backoffAt + backoff * SECOND_MS;
      const late = arrivals
        .filter(({at}) => at > backoffAt + BACKOFF_NOTICE_MS && at < until)
        .filter(({requestId: id, at}) => {
          const entry = callerOf(records, id)?.entry;
          return entry === caller.entry && records.isCalm(entry, backoffAt, at);
        });
      if (late.length <= MAX_ATTEMPTS_DURING_BACKOFF) return [];
      return [`${instance} asked to back off and got ${late.length} requests`];
    }),
  );
}

/** Attempts that reach an evacuated zone, even through frozen entries. */
function attemptsToEvacuated(records: SoakRecords): readonly string[] {
  const {evacuations, evacuationBound, engines, zoneOf} = records;
  return evacuations.flatMap(({zone, from, until}) =>
    engines
      .filter(engine => zoneOf(engine) === zone)
      .flatMap(({instance, arrivals}) =>
        arrivals
          .filter(({at}) => at >= from + evacuationBound && at < until)
          .map(({requestId}) => `${requestId} sent to ${instance}, evacuated`),
      ),
  );
}

function exceededColdRates({
  coldSpans,
  coldRate,
}: SoakRecords): readonly string[] {
  const max = 1.5 * coldRate + 5;
  return coldSpans.flatMap(({engine, from, until}) => {
    const times = engine.arrivals
      .map(({at}) => at)
      .filter(at => at >= from && at < until);
    return times.flatMap(first => {
      const count = times.filter(at => at >= first && at < first + SECOND_MS);
      if (count.length <= max) return [];
      return [
        `${engine.instance}, cold, got ${count.length} requests in a second`,
      ];
    });
  });
}

/** Answers by a configuration that was replaced more than its bound ago. */
function answersByOldConfiguration(records: SoakRecords): readonly string[] {
  const {callers, routes, isCalm, isStoreStable} = records;
  return callers.flatMap(
    ({path, requestId, entry, status, sentAt, endedAt}) => {
      if (!path.startsWith('/added/')) return [];
      const inForce = routes.findLast(
        ({at}) => at + CONFIGURATION_BOUND_MS < sentAt,
      );
      if (inForce === undefined) return [];
      const isAmbiguous = routes.some(
        ({at, isServed}) =>
          at > inForce.at && at < endedAt && isServed !== inForce.isServed,
      );
      if (isAmbiguous || !isStoreStable(sentAt - SYNC_MS, sentAt)) return [];
      if (!isCalm(entry, sentAt - SYNC_MS, endedAt)) return [];
      const older = inForce.isServed ? 404 : 200;
      return status === older
        ? [`${requestId} got ${status} by an older configuration`]
        : [];
    },
  );
}

/** Refusals because of old data although entry and store were connected. */
function outdatedRefusals(records: SoakRecords): readonly string[] {
  return records.callers
    .filter(({text}) => OUTDATED_REASONS.includes(text.trim()))
    .filter(({entry, sentAt, endedAt}) => {
      const from = sentAt - SYNC_MS;
      if (!records.isStoreStable(from, endedAt)) return false;
      return records.isCalm(entry, from, endedAt);
    })
    .map(({requestId, text}) => `${requestId} was refused: ${text.trim()}`);
}

/** Attempts without an answer that no kill, freeze or target end explains. */
function unanswered(records: SoakRecords): readonly string[] {
  return records.callers
    .filter(({failure}) => failure === 'noAnswer')
    .filter(({entry, sentAt, endedAt}) =>
      records.isRunning(entry, sentAt, endedAt),
    )
    .filter(({entry, sentAt}) => !records.isClosing(entry, sentAt))
    .filter(caller => !hasTargetEnded(records, caller))
    .map(({requestId, path}) => `${requestId} on ${path} got no answer`);
}

/** Attempts that were abandoned although no target disconnected. */
function abandonedAttempts(records: SoakRecords): readonly string[] {
  return records.callers
    .filter(({status}) => status === 502)
    .filter(
      caller =>
        caller.text.trim() === SILENCE || !hasTargetEnded(records, caller),
    )
    .map(({requestId, text}) => `${requestId} was abandoned: ${text.trim()}`);
}

/** Whether a target ended meanwhile, even before it read the request. */
function hasTargetEnded(
  {engines}: SoakRecords,
  {sentAt, endedAt}: CallerRecord,
): boolean {
  return engines.some(engine => {
    const at = engine.endedAt() ?? Infinity;
    return at >= sentAt && at <= endedAt;
  });
}

function callerOf({callers}: SoakRecords, requestId: string) {
  return callers.find(record => record.requestId === requestId);
}
