import type {Milliseconds} from '../../types';
import {MAX_TAKEOVER_TIMEOUT_MS} from '../bounds';
import type {SwarmState} from '../state';

/**
 * Times of a chunk after which the next in rank asks for it: one at the origin,
 * one to a neighbour, and one to spare.
 *
 * Failure: a member freezes or dies while a version moves, and those that take
 * its part over don't all know it. With eight times, enough for the hops of
 * hundreds of members, the last of 19 had the version after 10.9 s; with three
 * after 6.1 s, and the origin sent 1 to 3 in 100 more (laboratory, one frozen at
 * 300 ms, worst of ten seeds). Of 80 members none fails: 5 in 100 more.
 */
const TAKEOVER_STEPS = 3;

/**
 * Times that the origin's whole link needs for a chunk, taken as one step
 * before a step was measured: a link of a member is slower, and uploads queue.
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
