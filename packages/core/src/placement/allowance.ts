import {hash32} from '../utils/hash';
import type {ZoneName} from '../types';
import type {EngineLoad, SendingEntry} from './types';

/** An entry's rank among the entries that share the free slots of an engine. */
export interface SlotShare {
  readonly isNear: boolean;
  /** Number of entries that share the slots. */
  readonly count: number;
  /** This entry's rank among them, from 0. */
  readonly index: number;
}

/** Identifies a report; the same at all entries that receive it. */
export type ReportKey = Pick<EngineLoad, 'address' | 'sequence'>;

/**
 * Free slots that are reserved for entries of the engine's own zone: traffic
 * between zones costs, and near entries learn an engine's load sooner.
 */
const RESERVED_NEAR_SLOTS = 3;

/**
 * Requests that near entries together may start at an engine per report.
 * Prompts are read one after the other, 33 ms each, and each request waits for
 * all of them. Without this limit, an engine that comes back empty is sent 16
 * at once: the median time to the first event in the seconds after a load was
 * 525 ms, 408 ms with a limit of five and 205 ms with three.
 */
const MAX_NEAR_STARTS = 3;

/** The same for entries of other zones, which receive every third report. */
const MAX_FAR_STARTS = 2;

/**
 * Returns the rank of `self` among the entries that share an engine of `zone`.
 */
export function slotShareOf(
  self: SendingEntry,
  entries: readonly SendingEntry[],
  zone: ZoneName,
): SlotShare {
  const near = entries.filter(entry => entry.zone === zone);
  const isNear = self.zone === zone || near.length === 0;
  const group = isNear && near.length > 0 ? near : entries;
  const sharing = isNear ? group : entries.filter(entry => entry.zone !== zone);
  const names = sharing.map(entry => entry.instance).sort();
  return {
    isNear,
    count: Math.max(1, names.length),
    index: Math.max(0, names.indexOf(self.instance)),
  };
}

/**
 * Returns how many of an engine's free slots this entry may fill until the next
 * report.
 *
 * Without this, every entry that sees a free slot fills it: all but one of the
 * requests wait at the engine and are late while other engines are idle. The
 * slots are divided by rank, and the rank rotates with each report, so that the
 * entries together fill each slot once.
 */
export function slotAllowance(
  free: number,
  share: SlotShare,
  report: ReportKey,
): number {
  const shared = share.isNear
    ? Math.min(free, MAX_NEAR_STARTS)
    : Math.min(free - RESERVED_NEAR_SLOTS, MAX_FAR_STARTS);
  if (shared <= 0) return 0;
  const each = Math.floor(shared / share.count);
  const rest = shared % share.count;
  return each + (turnPosition(share, report) < rest ? 1 : 0);
}

/**
 * Returns how many entries come before this one at a report; 0 if it is first.
 *
 * The position is a hash because entries of other zones receive every third
 * report only, so counting up would always favor the same ones. The address is
 * part of the hash because agents that start together use the same sequence
 * numbers: an entry would be first at all engines in the same report. With 15
 * entries in a zone, requests then wait 280 ms for a slot and are refused while
 * six in ten slots are free.
 */
export function turnPosition(
  share: SlotShare,
  {address, sequence}: ReportKey,
): number {
  return (share.index + hash32(`${address} ${sequence}`)) % share.count;
}
