import type {Milliseconds} from '../../types';
import {MAX_TAKEOVER_TIMEOUT_MS} from '../bounds';
import type {SwarmState} from '../state';

/**
 * Number of chunk times after which the next in rank requests a chunk: one at
 * the origin, one to a neighbour and one in reserve.
 *
 * If a member freezes or dies during a rollout, not all members that take over
 * its chunks know it. With eight chunk times, enough for the hops between
 * hundreds of members, the last of 19 members had the version after 10.9 s.
 * With three it had it after 6.1 s, and the origin sent 1% to 3% more
 * (simulated, one member frozen at 300 ms, worst of ten seeds). With 80 members
 * and no failure the origin sends 5% more.
 */
const TAKEOVER_STEPS = 3;

/**
 * Assumed length of one step before any is measured, as a multiple of the time
 * in which the origin's full link sends a chunk. Members have slower links, and
 * uploads queue.
 */
const ORIGIN_TIMES_PER_STEP = 8;

/** How long a rank waits for the one before it, in milliseconds. */
export function takeoverTimeout(state: SwarmState): Milliseconds {
  const step = Math.max(
    state.neighbourTime.mean() ?? 0,
    state.originTime.mean() ?? 0,
    state.neighbourTime.mean() === undefined ? expectedStep(state) : 0,
  );
  const estimated = Math.max(state.patience.bound(), TAKEOVER_STEPS * step);
  return Math.min(MAX_TAKEOVER_TIMEOUT_MS, estimated);
}

function expectedStep(state: SwarmState): Milliseconds {
  const rate = state.originRate;
  if (rate === undefined) return 0;
  let largest = 0;
  for (const {manifest} of state.versions.values()) {
    largest = Math.max(largest, manifest.chunks[0]?.size ?? 0);
  }
  return (ORIGIN_TIMES_PER_STEP * largest * 1000) / rate;
}
