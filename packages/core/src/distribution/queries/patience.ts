import type {Bytes, Milliseconds} from '../../types';
import {LONGEST_PATIENCE} from '../bounds';
import {expectedAt} from '../commands/availability';
import type {SwarmState, WantedVersion} from '../state';

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
const STEPS = 3;

/**
 * Times that the origin's whole link needs for a chunk, taken as one step
 * before a step was measured: a link of a member is slower, and uploads queue.
 */
const ORIGIN_TIMES_PER_STEP = 8;

/** How long a rank waits for the one before it, as far as times were learned. */
export function learnedPatience(state: SwarmState): Milliseconds {
  const step = Math.max(
    state.neighbourTime.mean() ?? 0,
    state.originTime.mean() ?? 0,
    state.neighbourTime.mean() === undefined ? expectedStep(state) : 0,
  );
  const learned = Math.max(state.patience.bound(), STEPS * step);
  return Math.min(LONGEST_PATIENCE, learned);
}

/** How long a rank waits for the one before it to fetch a chunk of `version`. */
export function patience(
  state: SwarmState,
  version: WantedVersion,
): Milliseconds {
  const wait = Math.max(learnedPatience(state), overdueTime(state, version));
  return Math.min(LONGEST_PATIENCE, wait);
}

/**
 * Time that the origin needs for what should have come of a version and of the
 * older ones, which go before it, and has not.
 *
 * Failure: the origin was away, and all chunks are overdue when it is back. It
 * sends them at the same time, so that each comes after seconds; meanwhile the
 * next in rank loses its patience and asks for the same ones. The origin sent 1.6
 * copies in place of one, and no engine had the version after 7 s.
 */
function overdueTime(state: SwarmState, version: WantedVersion): Milliseconds {
  const rate = state.originRate;
  if (rate === undefined) return 0;
  let bytes = 0;
  for (const wanted of state.versions.values()) {
    bytes += overdueBytes(state, wanted);
    if (wanted === version) break;
  }
  return (bytes * 1_000) / rate;
}

function overdueBytes(state: SwarmState, version: WantedVersion): Bytes {
  let bytes = 0;
  for (const position of version.missing) {
    if (version.availability[position]! > 0) continue;
    if (expectedAt(state, version, position) > state.now) continue;
    bytes += version.manifest.chunks[position]!.size;
  }
  return bytes;
}

/**
 * Time from a chunk's turn at the origin until neighbours have it, by the
 * origin's rate; 0 if that is not known.
 */
export function expectedStep(state: SwarmState): Milliseconds {
  const rate = state.originRate;
  if (rate === undefined) return 0;
  let largest = 0;
  for (const {manifest} of state.versions.values()) {
    largest = Math.max(largest, manifest.chunks[0]?.size ?? 0);
  }
  return (ORIGIN_TIMES_PER_STEP * largest * 1000) / rate;
}
