import type {Manifest, RolloutPreference, VersionDigest} from '../../types';
import {hash32} from '../../utils/hash';
import {createBitSet} from '../bit_set';
import {mixHashes, rankFetchers} from '../ranks';
import type {SwarmState, WantedVersion} from '../state';
import type {VersionHolders} from '../types';
import {announceHeld} from './announce';
import {refreshHeld} from './chunks';
import {refreshNeighbours, applyHave} from './neighbours';
import {cancelTransfer} from './transfers';

/** Starts to fetch a version, or updates one that is in progress. */
export function wantVersion(
  state: SwarmState,
  versionDigest: VersionDigest,
  manifest: Manifest,
  prefer: RolloutPreference,
  holders: VersionHolders,
): void {
  const known = state.versions.get(versionDigest);
  if (known !== undefined) {
    known.prefer = prefer;
    known.wantedHolders = holders;
    refreshNeighbours(state, known);
    return;
  }
  const version = createVersion(
    state,
    versionDigest,
    manifest,
    prefer,
    holders,
  );
  state.versions.set(versionDigest, version);
  refreshNeighbours(state, version);
  if (state.life !== undefined) refreshHeld(state, version);
  announceHeld(state, version, [...version.neighbours]);
  for (const neighbour of state.neighbours.values()) {
    const kept = neighbour.unknownVersions.get(versionDigest);
    neighbour.unknownVersions.delete(versionDigest);
    if (kept === undefined) continue;
    applyHave(state, neighbour.instance, versionDigest, [...kept]);
  }
}

/**
 * Stops fetching a version. Chunks already held are kept, so a version that
 * shares them starts with them; downloads of shared chunks continue.
 */
export function dropVersion(
  state: SwarmState,
  versionDigest: VersionDigest,
): void {
  if (!state.versions.delete(versionDigest)) return;
  for (const transfer of [...state.transfers.values()]) {
    if (isWanted(state, transfer.digest)) continue;
    cancelTransfer(state, transfer.id);
  }
}

function isWanted(state: SwarmState, digest: string): boolean {
  for (const version of state.versions.values()) {
    if (version.positions.has(digest)) return true;
  }
  return false;
}

function createVersion(
  state: SwarmState,
  versionDigest: VersionDigest,
  manifest: Manifest,
  prefer: RolloutPreference,
  wantedHolders: VersionHolders,
): WantedVersion {
  const count = manifest.chunks.length;
  return {
    versionDigest,
    manifest,
    prefer,
    wantedHolders,
    holders: [],
    wantedAt: state.now,
    positions: new Map(
      manifest.chunks.map((chunk, position) => [chunk.digest, position]),
    ),
    held: createBitSet(count),
    missing: manifest.chunks.map((_chunk, position) => position),
    ranks: rankFetchers([], [], () => true, state.options.instance),
    originOrder: undefined,
    zoneRank: new Int32Array(count),
    crossZoneSources: new Set(),
    neighbours: new Set(),
    haves: new Map(),
    availability: new Uint16Array(count),
    unreachableSince: new Float64Array(count).fill(state.now),
    firstSeen: new Float64Array(count).fill(-1),
    lastOwnerProgress: new Float64Array(),
    tieBreak: Uint32Array.from(manifest.chunks, chunk =>
      mixHashes(state.options.seed, hash32(chunk.digest)),
    ),
    gained: [],
    announceAt: undefined,
    ready: false,
    originBytes: 0,
    neighbourBytes: 0,
    crossZoneBytes: 0,
  };
}
