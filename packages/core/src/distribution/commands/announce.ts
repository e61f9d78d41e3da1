import type {InstanceName} from '../../types';
import * as bounds from '../bounds';
import {wakeAt, type SwarmState, type WantedVersion} from '../state';

/** Share of a chunk's time that a gain may wait for others to go with it. */
const DELAY_SHARE = 1 / 4;

/** Sends the whole have-map; also when empty, which says "I want it too". */
export function announceAll(
  state: SwarmState,
  version: WantedVersion,
  neighbours: readonly InstanceName[],
): void {
  if (neighbours.length === 0) return;
  state.effects.push({
    kind: 'announce',
    neighbours,
    versionDigest: version.versionDigest,
    gained: version.held.positions(),
  });
}

/** Notes a gain to be announced shortly, together with the next ones. */
export function announceLater(
  state: SwarmState,
  version: WantedVersion,
  position: number,
): void {
  version.gained.push(position);
  version.announceAt ??= state.now + announceDelay(state);
}

/** Sends the gains that are due, to all who still miss chunks. */
export function announceDue(state: SwarmState): void {
  for (const version of state.versions.values()) {
    if (version.announceAt === undefined) continue;
    if (version.announceAt > state.now) {
      wakeAt(state, version.announceAt);
      continue;
    }
    const gained = version.gained.splice(0);
    version.announceAt = undefined;
    const neighbours = [...version.neighbours].filter(
      instance => !isComplete(version, instance),
    );
    if (neighbours.length === 0) continue;
    state.effects.push({
      kind: 'announce',
      neighbours,
      versionDigest: version.versionDigest,
      gained,
    });
  }
}

function announceDelay(state: SwarmState): number {
  const chunkTime = state.neighbourTime.mean() ?? 0;
  return Math.min(bounds.LONGEST_ANNOUNCE_DELAY, chunkTime * DELAY_SHARE);
}

function isComplete(version: WantedVersion, instance: InstanceName): boolean {
  const have = version.haves.get(instance);
  return have !== undefined && have.count() === have.size;
}
