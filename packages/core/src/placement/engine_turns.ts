import type {Milliseconds, MonotonicInstant} from '../types';
import {slotAllowance, turnPosition, type SlotShare} from './allowance';
import {isReported, type TargetRecord} from './target_record';
import type {EngineLoad, ListedTarget} from './types';

/** Time after which turns at an engine of the own zone move on without a report. */
const NEAR_TURN_PERIOD: Milliseconds = 100;

/** The same at engines of other zones, whose reports come a third as often. */
const FAR_TURN_PERIOD: Milliseconds = 300;

/** What an entry may fill of an engine's free slots. */
export interface EngineTurn {
  /** Slots that this entry may fill until the next report. */
  readonly allowed: number;
  /** Share of the entries whose turn at this engine is before this one's. */
  readonly before: number;
  /** How often turns have moved on since the last report. */
  readonly advances: number;
}

/** Of an engine that nothing is known of. */
export const NO_TURN: EngineTurn = {allowed: 0, before: 0, advances: 0};

/** An entry's turn at a report, or after turns have moved on since. */
export function turnAt(
  target: ListedTarget,
  load: EngineLoad,
  place: SlotShare,
  moved = 0,
): EngineTurn {
  const report = {
    address: load.address,
    sequence: load.sequence + moved,
  };
  const used = load.running + load.waiting;
  return {
    allowed: slotAllowance(target.slots - used, place, report),
    before: turnPosition(place, report) / place.count,
    advances: moved,
  };
}

/**
 * Moves an entry's turn on with the time.
 *
 * Failure: an engine is idle, and its agent reports each 500 ms only. An entry whose
 * turn it is not waits for that long. Guard: turns move on between reports, as the
 * sequence of reports does, so that all entries agree on them.
 */
export function advanceTurn(
  entry: TargetRecord,
  place: SlotShare,
  now: MonotonicInstant,
): void {
  const {report, target, share} = entry;
  if (report === undefined || !isReported(entry, now)) return;
  const period = place.isNear ? NEAR_TURN_PERIOD : FAR_TURN_PERIOD;
  const moved = Math.floor((now - entry.reportedAt) / period);
  if (moved !== share.advances) {
    entry.share = turnAt(target, report, place, moved);
  }
}
