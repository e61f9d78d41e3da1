import type {Digest, InstanceName, ZoneName} from '../../types';
import {hash32} from '../../utils/hash';
import {mixHashes} from '../ranks';
import * as bounds from '../bounds';
import {wakeAt, type SwarmState, type WantedVersion} from '../state';

/** Share of a chunk's time that a gain may wait for others to go with it. */
const ANNOUNCE_DELAY_SHARE = 1 / 4;

/** Sends the whole have-map; also when empty, which says "I want it too". */
export function announceHeld(
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

/**
 * Tells of a chunk those that are to copy it into the other zones, at once.
 *
 * Gain: a chunk that came from the origin used to reach another zone only once it
 * had come to one of the few neighbours that its copier has here, after 0.5 to 2 s.
 * The last of 41 engines has a version after 5.0 s in place of 5.5, and 2.0 copies
 * go between three zones in place of 2.3 (laboratory, whole link).
 */
export function offerToCopiers(
  state: SwarmState,
  version: WantedVersion,
  position: number,
): void {
  const {digest} = version.manifest.chunks[position]!;
  const copiers = zoneCopiers(state, version, digest).filter(
    instance => !version.neighbours.has(instance),
  );
  if (copiers.length === 0) return;
  state.effects.push({
    kind: 'announce',
    neighbours: copiers,
    versionDigest: version.versionDigest,
    gained: [position],
  });
}

/** The first in rank of each other zone for a chunk. */
function zoneCopiers(
  state: SwarmState,
  version: WantedVersion,
  digest: Digest,
): readonly InstanceName[] {
  const chunkHash = hash32(digest);
  const best = new Map<ZoneName, {instance: InstanceName; score: number}>();
  for (const instance of version.holders) {
    const zone = state.zones.get(instance);
    if (zone === undefined || zone === state.options.zone) continue;
    if (state.disconnected.has(instance)) continue;
    const score = mixHashes(hash32(instance), chunkHash);
    if (score <= (best.get(zone)?.score ?? -1)) continue;
    best.set(zone, {instance, score});
  }
  return [...best.values()].map(({instance}) => instance);
}

/** Notes a gain to be announced shortly, together with the next ones. */
export function queueAnnouncement(
  state: SwarmState,
  version: WantedVersion,
  position: number,
): void {
  version.gained.push(position);
  version.announceAt ??= state.now + announceDelay(state);
}

/** Sends the gains that are due, to all who still miss chunks. */
export function sendDueAnnouncements(state: SwarmState): void {
  for (const version of state.versions.values()) {
    if (version.announceAt === undefined) continue;
    if (version.announceAt > state.now) {
      wakeAt(state, version.announceAt);
      continue;
    }
    const gained = version.gained.splice(0);
    version.announceAt = undefined;
    const neighbours = [...version.neighbours].filter(
      instance =>
        !isComplete(version, instance) &&
        !version.crossZoneSources.has(instance),
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
  return Math.min(
    bounds.MAX_ANNOUNCE_DELAY_MS,
    chunkTime * ANNOUNCE_DELAY_SHARE,
  );
}

function isComplete(version: WantedVersion, instance: InstanceName): boolean {
  const have = version.haves.get(instance);
  return have !== undefined && have.count() === have.size;
}
