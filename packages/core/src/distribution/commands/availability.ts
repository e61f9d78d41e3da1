import {createBitSet} from '../bit_set';
import type {Neighbour, SwarmState, WantedVersion} from '../state';

/** Records when a chunk is first held here or by a neighbour. */
export function recordFirstSeen(
  state: SwarmState,
  version: WantedVersion,
  position: number,
): void {
  if (version.firstSeen[position]! >= 0) return;
  version.firstSeen[position] = state.now;
  const owner = version.ranks.owner[position]!;
  if (owner < 0) return;
  const self = state.options.instance;
  const expected = ownerDueAt(state, version, position);
  if (version.holders[owner] !== self) {
    // An outage of the origin delays all chunks at once. Uncapped, these delays
    // would make the takeover timeout many times too long.
    const longest = 2 * state.patience.bound();
    const late = Math.max(0, state.now - expected);
    state.patience.addSample(Math.min(longest, late));
  }
  version.lastOwnerProgress[owner] = state.now;
}

/**
 * Time at which the owner of a chunk should have requested it from the origin.
 */
export function ownerDueAt(
  state: SwarmState,
  version: WantedVersion,
  position: number,
): number {
  const owner = version.ranks.owner[position]!;
  const lastProgress = owner < 0 ? 0 : version.lastOwnerProgress[owner]!;
  return Math.max(scheduledAt(state, version, position), lastProgress);
}

/** Time at which a chunk is scheduled to be requested from the origin. */
export function scheduledAt(
  state: SwarmState,
  version: WantedVersion,
  position: number,
): number {
  const rate = state.originRate;
  if (rate === undefined) return version.wantedAt;
  const size = version.manifest.chunks[position]!.size;
  const order =
    version.originOrder?.[position] ?? version.ranks.originOrder[position]!;
  return version.wantedAt + (order * size * 1000) / rate;
}

/** Adds positions that a neighbour holds. */
export function addHave(
  state: SwarmState,
  version: WantedVersion,
  neighbour: Neighbour,
  gained: Iterable<number>,
): void {
  const have = haveOf(version, neighbour);
  for (const position of gained) {
    if (!have.add(position)) continue;
    if (neighbour.suspendedUntil !== undefined) continue;
    version.availability[position]! += 1;
    recordFirstSeen(state, version, position);
  }
}

/** Removes one position that a neighbour no longer holds. */
export function removeHave(
  state: SwarmState,
  version: WantedVersion,
  neighbour: Neighbour,
  position: number,
): void {
  const have = version.haves.get(neighbour.instance);
  if (have === undefined || !have.remove(position)) return;
  if (neighbour.suspendedUntil === undefined) {
    lowerAvailability(state, version, position);
  }
}

/** Counts a neighbour's chunks as unreachable until `until`. */
export function suspend(
  state: SwarmState,
  neighbour: Neighbour,
  until: number,
): void {
  const counted = neighbour.suspendedUntil === undefined;
  neighbour.suspendedUntil = until;
  if (!counted) return;
  for (const version of state.versions.values()) {
    const have = version.haves.get(neighbour.instance);
    for (const position of have?.positions() ?? []) {
      lowerAvailability(state, version, position);
    }
  }
}

/** Counts a neighbour's chunks as reachable again. */
export function resume(state: SwarmState, neighbour: Neighbour): void {
  if (neighbour.suspendedUntil === undefined) return;
  neighbour.suspendedUntil = undefined;
  for (const version of state.versions.values()) {
    const have = version.haves.get(neighbour.instance);
    for (const position of have?.positions() ?? []) {
      version.availability[position]! += 1;
      recordFirstSeen(state, version, position);
    }
  }
}

/** Discards a neighbour's have-map of one version. */
export function forgetHave(
  state: SwarmState,
  version: WantedVersion,
  neighbour: Neighbour,
): void {
  const have = version.haves.get(neighbour.instance);
  version.haves.delete(neighbour.instance);
  if (neighbour.suspendedUntil !== undefined) return;
  for (const position of have?.positions() ?? []) {
    lowerAvailability(state, version, position);
  }
}

function haveOf(version: WantedVersion, neighbour: Neighbour) {
  const known = version.haves.get(neighbour.instance);
  if (known !== undefined) return known;
  const created = createBitSet(version.manifest.chunks.length);
  version.haves.set(neighbour.instance, created);
  return created;
}

function lowerAvailability(
  state: SwarmState,
  version: WantedVersion,
  position: number,
): void {
  const left = version.availability[position]! - 1;
  version.availability[position] = left;
  if (left === 0) version.unreachableSince[position] = state.now;
}
