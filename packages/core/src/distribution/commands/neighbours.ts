import type {InstanceName, VersionDigest} from '../../types';
import * as bounds from '../bounds';
import {chooseNeighbours} from '../neighbour_choice';
import type {Neighbour, SwarmState, WantedVersion} from '../state';
import {rankAmong, rankFetchers} from '../ranks';
import type {SwarmMember} from '../types';
import {addHave, forgetHave} from './availability';
import {announceHeld} from './announce';
import {cancelTransfer} from './transfers';

/**
 * Updates the live agents and chooses the neighbours of every version again.
 */
export function updateMembers(
  state: SwarmState,
  members: readonly SwarmMember[],
): void {
  state.zones = new Map(
    members.map(member => [member.instance, member.zone] as const),
  );
  for (const instance of [...state.neighbours.keys()]) {
    if (state.zones.has(instance)) continue;
    forgetNeighbour(state, instance);
    state.neighbours.delete(instance);
    state.disconnected.delete(instance);
  }
  for (const version of state.versions.values()) {
    refreshNeighbours(state, version);
  }
}

/** Updates the ranks of the fetchers and chooses the neighbours again. */
export function refreshNeighbours(
  state: SwarmState,
  version: WantedVersion,
): void {
  refreshHolders(state, version);
  const live = liveHolders(state, version);
  updateRanks(state, version, live);
  const chosen = new Set(
    chooseNeighbours(
      {instance: state.options.instance, zone: state.options.zone},
      live,
      {
        ownZone: state.options.ownZonePicks ?? bounds.OWN_ZONE_PICKS,
        crossZone: state.options.crossZonePicks ?? bounds.CROSS_ZONE_PICKS,
      },
    ),
  );
  const before = version.neighbours;
  const names = new Set(live.map(member => member.instance));
  for (const instance of before) {
    // Kept although no longer chosen, because both sides know each other's
    // have-map.
    if (names.has(instance)) chosen.add(instance);
  }
  version.neighbours = chosen;
  const added = [...chosen].filter(instance => !before.has(instance));
  announceHeld(state, version, added);
  for (const instance of before) {
    if (chosen.has(instance)) continue;
    const neighbour = state.neighbours.get(instance);
    if (neighbour !== undefined) forgetHave(state, version, neighbour);
  }
}

/**
 * Updates the holders. Agents that learn of a version at different times must
 * agree on which one fetches each chunk, or none of them does.
 */
function refreshHolders(state: SwarmState, version: WantedVersion): void {
  const {wantedHolders} = version;
  const next =
    wantedHolders === 'members'
      ? [...state.zones.keys(), state.options.instance].sort()
      : wantedHolders;
  if (isSameList(next, version.holders)) return;
  const lastProgress = new Map(
    version.holders.map((name, index) => [
      name,
      version.lastOwnerProgress[index]!,
    ]),
  );
  version.holders = next;
  version.lastOwnerProgress = Float64Array.from(
    next,
    name => lastProgress.get(name) ?? 0,
  );
  // A chunk's new fetcher gets its full timeout before the next one in rank
  // takes over.
  version.availability.forEach((holders, position) => {
    if (holders === 0) version.unreachableSince[position] = state.now;
  });
}

function isSameList(
  one: readonly InstanceName[],
  other: readonly InstanceName[],
): boolean {
  return (
    one.length === other.length &&
    one.every((name, index) => name === other[index])
  );
}

/** Handles chunks that a neighbour gained. */
export function applyHave(
  state: SwarmState,
  instance: InstanceName,
  versionDigest: VersionDigest,
  gained: readonly number[],
): void {
  recordContact(state, instance);
  if (state.cutOff.has(instance)) return;
  const neighbour = neighbourOf(state, instance);
  const version = state.versions.get(versionDigest);
  if (version === undefined) {
    rememberUnknownVersion(neighbour, versionDigest, gained);
    return;
  }
  if (!admitNeighbour(state, version, instance, gained)) return;
  addHave(state, version, neighbour, gained);
}

/** Handles a new session: the other side must learn what this node holds. */
export function connectNeighbour(
  state: SwarmState,
  instance: InstanceName,
): void {
  recordContact(state, instance);
  for (const version of state.versions.values()) {
    if (version.neighbours.has(instance)) {
      announceHeld(state, version, [instance]);
    }
  }
}

/**
 * Handles the end of a session: what the neighbour holds is unknown until it
 * reports it again. Its next session starts with the complete have-map.
 */
export function disconnectNeighbour(
  state: SwarmState,
  instance: InstanceName,
): void {
  forgetNeighbour(state, instance);
  if (state.disconnected.has(instance)) return;
  state.disconnected.add(instance);
  updateAllRanks(state);
}

function recordContact(state: SwarmState, instance: InstanceName): void {
  if (state.disconnected.delete(instance)) updateAllRanks(state);
}

function updateAllRanks(state: SwarmState): void {
  for (const version of state.versions.values()) {
    updateRanks(state, version, liveHolders(state, version));
  }
}

function forgetNeighbour(state: SwarmState, instance: InstanceName): void {
  const neighbour = state.neighbours.get(instance);
  if (neighbour === undefined) return;
  if (neighbour.transfer !== undefined) {
    cancelTransfer(state, neighbour.transfer);
  }
  for (const version of state.versions.values()) {
    forgetHave(state, version, neighbour);
  }
  neighbour.unknownVersions.clear();
  neighbour.suspendedUntil = undefined;
}

/** Returns the state of a neighbour and creates it on first use. */
export function neighbourOf(
  state: SwarmState,
  instance: InstanceName,
): Neighbour {
  const known = state.neighbours.get(instance);
  if (known !== undefined) return known;
  const created: Neighbour = {
    instance,
    busyUntil: 0,
    lastRequestedAt: -Infinity,
    suspendedUntil: undefined,
    failures: 0,
    badChunks: 0,
    transfer: undefined,
    unknownVersions: new Map(),
  };
  state.neighbours.set(instance, created);
  return created;
}

function updateRanks(
  state: SwarmState,
  version: WantedVersion,
  live: readonly SwarmMember[],
): void {
  const {instance: self, zone} = state.options;
  const chunks = version.manifest.chunks.map(chunk => chunk.digest);
  const reachable = reachableMembers(state, live);
  const names = new Set(reachable.map(member => member.instance));
  const ownZone = reachable.filter(member => member.zone === zone);
  version.ranks = rankFetchers(
    chunks,
    version.holders,
    holder => names.has(holder),
    self,
  );
  version.zoneRank = rankAmong(
    chunks,
    ownZone.map(member => member.instance),
    self,
  );
}

/**
 * Members that can fetch chunks for the others. Unreachable members get no
 * rank: otherwise, if a member freezes soon after a version was named, the next
 * in rank requests its chunks only after a takeover timeout of seconds, and the
 * version misses its bound everywhere. A node that has lost at least half of
 * the others is cut off itself and takes over nothing.
 */
function reachableMembers(
  state: SwarmState,
  live: readonly SwarmMember[],
): readonly SwarmMember[] {
  const reachable = live.filter(
    ({instance}) => !state.disconnected.has(instance),
  );
  return reachable.length > live.length / 2 ? reachable : live;
}

/** Live members that should hold a version, including this node. */
function liveHolders(
  state: SwarmState,
  version: WantedVersion,
): readonly SwarmMember[] {
  const self = state.options.instance;
  return version.holders
    .map(instance => ({
      instance,
      zone: instance === self ? state.options.zone : state.zones.get(instance),
    }))
    .filter((member): member is SwarmMember => member.zone !== undefined);
}

/**
 * A member that chose this node according to its own member list becomes a
 * neighbour.
 */
function admitNeighbour(
  state: SwarmState,
  version: WantedVersion,
  instance: InstanceName,
  gained: readonly number[],
): boolean {
  if (version.neighbours.has(instance)) return true;
  if (isCrossZoneOffer(state, version, instance, gained)) {
    version.crossZoneSources.add(instance);
    version.neighbours.add(instance);
    return true;
  }
  if (version.neighbours.size >= bounds.MAX_NEIGHBOURS) return false;
  version.neighbours.add(instance);
  announceHeld(state, version, [instance]);
  return true;
}

/**
 * Whether a member of another zone announces chunks that this node should copy
 * into its zone.
 */
function isCrossZoneOffer(
  state: SwarmState,
  version: WantedVersion,
  instance: InstanceName,
  gained: readonly number[],
): boolean {
  if (state.zones.get(instance) === state.options.zone) return false;
  return (
    gained.length > 0 &&
    gained.every(position => version.zoneRank[position] === 0)
  );
}

function rememberUnknownVersion(
  neighbour: Neighbour,
  versionDigest: VersionDigest,
  gained: readonly number[],
): void {
  const versions = neighbour.unknownVersions;
  const kept = versions.get(versionDigest) ?? new Set();
  for (const position of gained) {
    if (position < bounds.MAX_CHUNKS) kept.add(position);
  }
  versions.delete(versionDigest);
  versions.set(versionDigest, kept);
  if (versions.size <= bounds.MAX_UNKNOWN_VERSIONS) return;
  const oldest = versions.keys().next().value;
  if (oldest !== undefined) versions.delete(oldest);
}
