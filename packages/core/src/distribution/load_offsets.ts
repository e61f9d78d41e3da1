import type {InstanceName, Milliseconds, ZoneName} from '../types';
import type {SwarmMember} from './types';

/**
 * An instance's position in the order of loads, from 0 for the first load to
 * below 1 for the last.
 */
export type LoadOffset = number;

/**
 * Fraction of a version's bound by which the last load starts. After the bound
 * no request may start on an older version, so an engine that has not loaded the
 * version by then is idle until it has.
 */
const LAST_LOAD_SHARE = 0.9;

/**
 * Fraction of a version's bound by which its chunks have usually arrived: 0.5
 * to 0.55 of 8 s at 0.7 of the engines' links.
 */
const EXPECTED_TRANSFER_SHARE = 0.5;

/**
 * Fractions of the bound after which a newer version waits until this one is
 * loaded, for the first and the last load offset; a version named sooner
 * replaces it. By 0.3, more than half of a version has been transferred and the
 * first engines load it. The last engines load it by 0.9. A version named by 0.6
 * can arrive 1.5 s after the older one's bound, which costs less than a separate
 * load.
 */
const COMMITTED_SHARE = {first: 0.3, last: 0.6} as const;

/**
 * Computes the load offset of an instance from its index among the members of
 * its zone. Zones are interleaved, so that each zone keeps serving while some
 * of its engines load. If all engines loaded at the same time, none would
 * accept new requests for two seconds and every request in that time would be
 * refused.
 */
export function loadOffset(
  self: SwarmMember,
  members: readonly SwarmMember[],
): LoadOffset {
  const zones = new Set<ZoneName>(members.map(({zone}) => zone));
  const zoneIndex = Math.max(0, [...zones].sort().indexOf(self.zone));
  const own: InstanceName[] = members
    .filter(member => member.zone === self.zone)
    .map(member => member.instance)
    .sort();
  const rank = Math.max(0, own.indexOf(self.instance));
  return (rank + zoneIndex / Math.max(1, zones.size)) / Math.max(1, own.length);
}

/**
 * Age of a version at which an engine loads it. Its chunks had arrived at age
 * `transferAge`, which is undefined while some are missing. Loads are spread
 * from then until the start of the last one. If they started in two waves, half
 * of the engines would accept no new requests for two seconds.
 */
export function loadAge(
  offset: LoadOffset,
  transferAge: Milliseconds | undefined,
  bound: Milliseconds,
): Milliseconds {
  const from = transferAge ?? EXPECTED_TRANSFER_SHARE * bound;
  const rest = Math.max(0, LAST_LOAD_SHARE * bound - from);
  return from + offset * rest;
}

/** Age of a version from which a newer one waits until this one is loaded. */
export function committedAge(
  offset: LoadOffset,
  bound: Milliseconds,
): Milliseconds {
  const {first, last} = COMMITTED_SHARE;
  return bound * (first + (last - first) * offset);
}
