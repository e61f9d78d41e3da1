import type {HeldModel, IncarnationStamp} from '../placement';
import type {Milliseconds, MonotonicInstant} from '../types';

/**
 * Period of reports that contain nothing new, which show that the sender is
 * alive.
 */
const HEARTBEAT_PERIOD: Milliseconds = 500;

/**
 * The same while an engine runs requests. The number of running requests may be
 * unchanged because one ended and one began, and an entry that has used its
 * part of the free slots waits for the next report.
 */
const RUNNING_HEARTBEAT_PERIOD: Milliseconds = 200;

/**
 * How much before the end of its period a report may be sent, since polls may
 * run early.
 */
const PERIOD_TOLERANCE: Milliseconds = 5;

/** Changes of pace up to this are not reported; placement uses steps of 0.1. */
const PACE_TOLERANCE = 0.05;

/** The same for the share of memory in use. */
const MEMORY_TOLERANCE = 0.05;

/** Changes of a load's start time up to this are not reported. */
const LOAD_TIME_TOLERANCE: Milliseconds = 60;

/** The parts of a report on which entries base decisions. */
export interface ReportedState extends IncarnationStamp {
  readonly held: readonly HeldModel[];
  readonly ordering: boolean;
  readonly running: number;
  readonly waiting: number;
  readonly pace: number;
  readonly memoryShare: number | undefined;
  /** When the engine is to load a version; undefined if no load is planned. */
  readonly loadsAt: MonotonicInstant | undefined;
}

/** How a report differs from the one before it. */
export type ReportChange =
  | 'none'
  /** The engine's load has changed. */
  | 'load'
  /** What the engine serves has changed. */
  | 'state';

/** Compares `next` with the last report sent to a receiver, if any. */
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

/** Whether an engine serves the same in both states. */
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

/** The last report sent to a receiver, and the one that could be sent now. */
export interface ReportCandidate {
  /** Whether the receiver gets each report with a change. */
  readonly getsAll: boolean;
  readonly before: ReportedState | undefined;
  readonly next: ReportedState;
  /** Time since the last report. */
  readonly since: Milliseconds;
}

/**
 * Whether a report must be sent.
 *
 * The second receiver gets changes in what an engine serves at once, and a
 * whole report in each heartbeat period. If the first one freezes, the second
 * takes its place and must have something to relay.
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
