import type {Milliseconds, MonotonicInstant} from '../types';
import {allowance, turnOf, type SharePlace} from './allowance';
import {isReported, type TargetEntry} from './target_entry';
import type {EngineLoad, ListedTarget} from './types';

/** Time after which turns at an engine of the own zone move on without a report. */
const NEAR_TURN: Milliseconds = 100;

/** The same at engines of other zones, whose reports come a third as often. */
const FAR_TURN: Milliseconds = 300;

/** What an entry may fill of an engine's free slots. */
export interface EngineTurn {
  /** Slots that this entry may fill until the next report. */
  readonly allowed: number;
  /** Share of the entries whose turn at this engine is before this one's. */
  readonly before: number;
  /** How often turns have moved on since the last report. */
  readonly moved: number;
}

/** Of an engine that nothing is known of. */
export const NO_TURN: EngineTurn = {allowed: 0, before: 0, moved: 0};

/** An entry's turn at a report, or after turns have moved on since. */
export function turnAt(
  target: ListedTarget,
  load: EngineLoad,
  place: SharePlace,
  moved = 0,
): EngineTurn {
  const report = {
    address: load.address,
    sequence: load.sequence + moved,
  };
  const used = load.running + load.waiting;
  return {
    allowed: allowance(target.slots - used, place, report),
    before: turnOf(place, report) / place.count,
    moved,
  };
}

/**
 * Moves an entry's turn on with the time.
 *
 * Failure: an engine is idle, and its agent reports each 500 ms only. An entry whose
 * turn it is not waits for that long. Guard: turns move on between reports, as the
 * sequence of reports does, so that all entries agree on them.
 */
export function moveTurn(
  entry: TargetEntry,
  place: SharePlace,
  now: MonotonicInstant,
): void {
  const {report, target, share} = entry;
  if (report === undefined || !isReported(entry, now)) return;
  const period = place.isNear ? NEAR_TURN : FAR_TURN;
  const moved = Math.floor((now - entry.reportedAt) / period);
  if (moved !== share.moved) entry.share = turnAt(target, report, place, moved);
}
