import {unreachable} from '../kernel/flow';
import type {InstanceName, Milliseconds, ZoneName} from '../types';
import type {SwarmMember} from './types';

/** The part of the instances with which one loads a new version. */
export type LoadWave = 'first' | 'second';

/** When a wave loads, after a version was named. */
export interface LoadTimes {
  /** A load does not begin before this. */
  readonly earliest: Milliseconds;
  /**
   * A newer version that is named later than this waits until this one is
   * loaded; named sooner, it takes this one's place.
   */
  readonly committedFrom: Milliseconds;
}

/**
 * Shares of the time in which all must have a version. Moving its chunks takes
 * 0.55 of 8 s; a load waits for what runs, 2 to 2.3 s. The second wave begins
 * when the first has ended, and takes nothing new from then on, so that it may
 * end after the bound.
 */
const EARLIEST = {first: 0, second: 0.8} as const;

/**
 * The same for the newer version. By 0.3 more than half of a version has been
 * moved, and the first wave loads it. The second one has its load before it
 * until 0.8; a version named by 0.6 can be there 1.5 s after the older one's
 * end, which costs less than a load of 2.3 s.
 */
const COMMITTED_FROM = {first: 0.3, second: 0.6} as const;

/**
 * The wave of an instance, by its place among the members of its zone. Zones
 * begin with different waves, so that sites with one instance a zone have both.
 *
 * Failure: all engines load at the same time, none takes anything new for two
 * seconds, and each request in between is refused. In waves a part of each zone
 * goes on serving.
 */
export function loadWave(
  self: SwarmMember,
  members: readonly SwarmMember[],
): LoadWave {
  const zones = new Set<ZoneName>(members.map(({zone}) => zone));
  const zonePlace = [...zones].sort().indexOf(self.zone);
  const own: InstanceName[] = members
    .filter(member => member.zone === self.zone)
    .map(member => member.instance)
    .sort();
  const place = Math.max(0, own.indexOf(self.instance)) + zonePlace;
  return place % 2 === 0 ? 'first' : 'second';
}

/** When a wave loads a version that all must have within `bound`. */
export function loadTimes(wave: LoadWave, bound: Milliseconds): LoadTimes {
  switch (wave) {
    case 'first':
    case 'second':
      return {
        earliest: EARLIEST[wave] * bound,
        committedFrom: COMMITTED_FROM[wave] * bound,
      };
    default:
      return unreachable(wave);
  }
}
