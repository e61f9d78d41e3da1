import type {InstanceName, Milliseconds, ZoneName} from '../types';
import type {SwarmMember} from './types';

/**
 * An instance's place in the order of loads, from 0 for the first one to below 1
 * for the last.
 */
export type LoadOffset = number;

/**
 * Share of a version's bound by which the last load begins. An engine whose turn
 * comes after older versions may start nothing stands idle until then.
 */
const LAST_LOAD_SHARE = 0.9;

/**
 * Share of a version's bound by which its chunks have usually been moved: 0.5 to
 * 0.55 of 8 s at 0.7 of the engines' links.
 */
const EXPECTED_TRANSFER_SHARE = 0.5;

/**
 * Shares of the bound after which a newer version waits until this one is
 * loaded; named sooner, it takes this one's place. By 0.3 more than half of a
 * version has been moved, and the first engines load it. The last ones have
 * their load before them until 0.9; a version named by 0.6 can be there 1.5 s
 * after the older one's end, which costs less than a load of its own.
 */
const COMMITTED_SHARE = {first: 0.3, last: 0.6} as const;

/**
 * The place of an instance: by its turn among the members of its zone, zones by
 * turns, so that each zone goes on serving while some of its engines load.
 *
 * Failure: all engines load at the same time, none takes anything new for two
 * seconds, and each request in between is refused.
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
  const turn = Math.max(0, own.indexOf(self.instance));
  return (turn + zoneIndex / Math.max(1, zones.size)) / Math.max(1, own.length);
}

/**
 * Age of a version at which an engine loads it, if its chunks were there at
 * `movedAt`. Loads are spread from then to the last one's time: with all of them
 * begun in two waves, half of the engines took nothing new for two seconds.
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

/** Age of a version from which a newer one waits until it is loaded. */
export function committedAge(
  offset: LoadOffset,
  bound: Milliseconds,
): Milliseconds {
  const {first, last} = COMMITTED_SHARE;
  return bound * (first + (last - first) * offset);
}
