import type {Milliseconds, MonotonicInstant} from '../types';
import {slotAllowance, turnPosition, type SlotShare} from './allowance';
import {isReported, type TargetRecord} from './target_record';
import type {EngineLoad, ListedTarget} from './types';

/**
 * Period in which turns at an engine of the own zone rotate without a report.
 */
const NEAR_TURN_PERIOD: Milliseconds = 100;

/** The same for engines of other zones, whose reports come a third as often. */
const FAR_TURN_PERIOD: Milliseconds = 300;

/** This entry's turn at an engine's free slots. */
export interface EngineTurn {
  /** Slots that this entry may fill until the next report. */
  readonly allowed: number;
  /** Share of the entries whose turn at this engine comes before this one's. */
  readonly before: number;
  /** How often turns have rotated since the last report. */
  readonly advances: number;
}

/** Turn at an engine without a report. */
export const NO_TURN: EngineTurn = {allowed: 0, before: 0, advances: 0};

/** Returns an entry's turn at a report, or after turns have rotated since. */
export function turnAt(
  target: ListedTarget,
  load: EngineLoad,
  slotShare: SlotShare,
  advances = 0,
): EngineTurn {
  const report = {
    address: load.address,
    sequence: load.sequence + advances,
  };
  const used = load.running + load.waiting;
  return {
    allowed: slotAllowance(target.slots - used, slotShare, report),
    before: turnPosition(slotShare, report) / slotShare.count,
    advances,
  };
}

/**
 * Rotates an entry's turn with time.
 *
 * An idle engine is reported only every 500 ms. Without this, an entry whose
 * turn it is not would wait that long. Turns rotate like the sequence of
 * reports, so that all entries agree on them.
 */
export function advanceTurn(
  record: TargetRecord,
  slotShare: SlotShare,
  now: MonotonicInstant,
): void {
  const {report, target, share} = record;
  if (report === undefined || !isReported(record, now)) return;
  const period = slotShare.isNear ? NEAR_TURN_PERIOD : FAR_TURN_PERIOD;
  const advances = Math.floor((now - record.reportedAt) / period);
  if (advances !== share.advances) {
    record.share = turnAt(target, report, slotShare, advances);
  }
}
