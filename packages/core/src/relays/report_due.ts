import type {HeldModel, IncarnationStamp} from '../placement';
import type {Milliseconds, MonotonicInstant} from '../types';

/** Period of signs of life while a report says nothing new. */
const HEARTBEAT_PERIOD: Milliseconds = 500;

/**
 * The same while an engine runs requests. As many may run as before because one
 * ended and one began: an entry that has used its part of the free slots waits for
 * the next report.
 */
const RUNNING_HEARTBEAT_PERIOD: Milliseconds = 200;

/** How much earlier a sign of life may go, for looks that come early. */
const PERIOD_TOLERANCE: Milliseconds = 5;

/** Changes of pace up to this are no news; placing goes by tenths of it. */
const PACE_TOLERANCE = 0.05;

/** The same for the share of memory in use. */
const MEMORY_TOLERANCE = 0.05;

/** How far the moment of a load may move before it is news. */
const LOAD_TIME_TOLERANCE: Milliseconds = 60;

/** What entries decide by of a report. */
export interface ReportedState extends IncarnationStamp {
  readonly held: readonly HeldModel[];
  readonly ordering: boolean;
  readonly running: number;
  readonly waiting: number;
  readonly pace: number;
  readonly memoryShare: number | undefined;
  /** When the engine is to load a version; undefined if it is not. */
  readonly loadsAt: MonotonicInstant | undefined;
}

/** How a report differs from the one before it. */
export type ReportChange =
  | 'none'
  /** In how much the engine has to do. */
  | 'load'
  /** In what the engine serves. */
  | 'state';

/** How `next` differs from what a receiver was told before, if anything. */
export function reportChange(
  before: ReportedState | undefined,
  next: ReportedState,
): ReportChange {
  if (before === undefined || !isSameState(before, next)) return 'state';
  const isSameLoad =
    before.running === next.running &&
    before.waiting === next.waiting &&
    isNear(before.pace, next.pace, PACE_TOLERANCE) &&
    isNear(before.memoryShare, next.memoryShare, MEMORY_TOLERANCE) &&
    isNear(before.loadsAt, next.loadsAt, LOAD_TIME_TOLERANCE);
  return isSameLoad ? 'none' : 'load';
}

/** Whether an engine serves the same as before. */
export function isSameState(
  one: Pick<ReportedState, 'held' | 'ordering' | 'born'>,
  other: Pick<ReportedState, 'held' | 'ordering' | 'born'>,
): boolean {
  return (
    one.ordering === other.ordering &&
    one.born === other.born &&
    one.held.length === other.held.length &&
    one.held.every(({model, version}, index) => {
      const match = other.held[index];
      return match?.model === model && match.version === version;
    })
  );
}

function isNear(
  one: number | undefined,
  other: number | undefined,
  tolerance: number,
): boolean {
  if (one === undefined || other === undefined) return one === other;
  return Math.abs(one - other) <= tolerance;
}

/** What a receiver was told, and what it could be told now. */
export interface ReportCandidate {
  /** Whether the receiver gets each report that is news. */
  readonly getsAll: boolean;
  readonly before: ReportedState | undefined;
  readonly next: ReportedState;
  /** Since the report before. */
  readonly since: Milliseconds;
}

/**
 * Whether a report must be written.
 *
 * Failure: the receiver of all reports freezes, and the next one in order takes
 * its place with nothing to tell. Guard: the second one gets what an engine serves
 * at once, and a whole report with each sign of life.
 */
export function isReportDue(candidate: ReportCandidate): boolean {
  const change = reportChange(candidate.before, candidate.next);
  if (change === 'state') return true;
  if (candidate.getsAll && change === 'load') return true;
  const isRunning = candidate.next.running > 0 || candidate.next.waiting > 0;
  const period =
    candidate.getsAll && isRunning
      ? RUNNING_HEARTBEAT_PERIOD
      : HEARTBEAT_PERIOD;
  return candidate.since >= period - PERIOD_TOLERANCE;
}
