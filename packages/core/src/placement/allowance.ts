import {hash32} from '../utils/hash';
import type {ZoneName} from '../types';
import type {EngineLoad, SendingEntry} from './types';

/** An entry's place among those that share the free slots of a zone's engines. */
export interface SlotShare {
  readonly isNear: boolean;
  /** Entries that share, and this one's number among them. */
  readonly count: number;
  readonly index: number;
}

/** Names a report alike at all entries that get it. */
export type ReportKey = Pick<EngineLoad, 'address' | 'sequence'>;

/**
 * Free slots that are left to entries of the engine's own zone. Bytes between
 * zones cost, and near entries know an engine's load sooner.
 */
const RESERVED_NEAR_SLOTS = 3;

/**
 * Requests that an engine is given within one report by near entries. Prompts
 * are read one after the other, 33 ms each, and all wait for all. An engine
 * that comes back empty would be given 16 at once: medians of 525 ms to the
 * first event in the seconds after a load, 408 ms with five, 205 with three.
 */
const MAX_NEAR_STARTS = 3;

/** The same for entries of other zones, whose reports come a third as often. */
const MAX_FAR_STARTS = 2;

/** The place of `self` among the entries that share an engine of `zone`. */
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
 * Slots of those free at a report that this entry may fill until the next one.
 *
 * Failure: each entry sees the same free slot and fills it; the rest of them
 * wait at the engine and are late, while other engines stand idle. Guard: the
 * slots are dealt out by number, and whose turn it is moves on with each
 * report, so that together the entries fill each slot once.
 */
export function slotAllowance(
  free: number,
  place: SlotShare,
  report: ReportKey,
): number {
  const shared = place.isNear
    ? Math.min(free, MAX_NEAR_STARTS)
    : Math.min(free - RESERVED_NEAR_SLOTS, MAX_FAR_STARTS);
  if (shared <= 0) return 0;
  const each = Math.floor(shared / place.count);
  const rest = shared % place.count;
  return each + (turnPosition(place, report) < rest ? 1 : 0);
}

/**
 * How many entries are before this one at a report, 0 if it is its turn. Entries
 * of other zones get each third report only, so turns don't just count on.
 *
 * Failure: agents that start together count alike, and an entry has its turn at
 * all engines in the same report. With 15 entries in a zone a request waits 280
 * ms for a place and is refused, while six in ten are free. Guard: turns differ
 * by engine.
 */
export function turnPosition(
  place: SlotShare,
  {address, sequence}: ReportKey,
): number {
  return (place.index + hash32(`${address} ${sequence}`)) % place.count;
}
