import type {Digest} from '../../types';
import {
  backoff,
  type SwarmState,
  type Transfer,
  type WantedVersion,
} from '../state';
import type {StoreIncarnation, TransferId} from '../types';
import {announceHeld, queueAnnouncement, offerToCopiers} from './announce';
import {recordFirstSeen, resume} from './availability';
import {recordBadChunk, cancelChunk, endTransfer} from './transfers';

/** Takes in the whole bytes of a chunk, verified or found bad. */
export function acceptChunk(
  state: SwarmState,
  id: TransferId,
  digest: Digest,
  verified: boolean,
): void {
  const transfer = endTransfer(state, id);
  if (transfer === undefined) return;
  // Bytes count only for the chunk that this transfer asked for, and only
  // when their digest is that chunk's. Otherwise a crossed answer or a bad
  // link would put wrong bytes under a good name.
  if (!verified || digest !== transfer.digest) {
    recordBadChunk(state, transfer);
    return;
  }
  recordDownloadTime(state, transfer);
  countBytes(state, transfer);
  if (transfer.sender.kind === 'origin') state.fromOrigin.add(digest);
  if (state.life === undefined || isHeldOrStoring(state, digest)) return;
  state.storing.set(digest, transfer.size);
  state.effects.push({
    kind: 'storeChunk',
    transfer: id,
    digest,
    life: state.life,
  });
}

/** Takes in that the store of life `life` has confirmed a chunk. */
export function confirmStored(
  state: SwarmState,
  digest: Digest,
  life: StoreIncarnation,
): void {
  state.storing.delete(digest);
  // A store that restarted has lost the chunk; its late confirmation would
  // make a version ready that misses a chunk.
  if (life !== state.life) return;
  state.storeFailures = 0;
  if (state.held.has(digest)) return;
  state.held.add(digest);
  cancelChunk(state, digest);
  for (const version of state.versions.values()) {
    addGainedChunk(state, version, digest);
  }
}

/** The store did not take a chunk; it will be fetched again, not at once. */
export function recordStoreFailure(state: SwarmState, digest: Digest): void {
  state.storing.delete(digest);
  state.storeBackoffUntil = state.now + backoff(state.storeFailures);
  state.storeFailures += 1;
}

/** Replaces what is held by what the store itself reports. */
export function replaceHeld(
  state: SwarmState,
  life: StoreIncarnation,
  digests: readonly Digest[],
): void {
  if (life !== state.life) state.storing.clear();
  state.life = life;
  state.held.clear();
  for (const digest of digests) state.held.add(digest);
  for (const version of state.versions.values()) {
    refreshHeld(state, version);
    announceHeld(state, version, [...version.neighbours]);
  }
}

/** Sets a version's positions from what is held. */
export function refreshHeld(state: SwarmState, version: WantedVersion): void {
  version.missing = [];
  version.ready = false;
  version.manifest.chunks.forEach((chunk, position) => {
    if (!state.held.has(chunk.digest)) {
      version.held.remove(position);
      version.missing.push(position);
      return;
    }
    version.held.add(position);
    recordFirstSeen(state, version, position);
  });
  version.originOrder ??= orderMissing(version);
  reportReady(state, version);
}

/**
 * Turns of the chunks that are missing alone: members that hold an older
 * version miss the same few, and turns of the others would pass unused.
 */
function orderMissing(version: WantedVersion): Int32Array {
  const {originOrder: turn} = version.ranks;
  const order = [...version.missing];
  order.sort((left, right) => turn[left]! - turn[right]!);
  const turns = new Int32Array(turn.length);
  order.forEach((position, place) => (turns[position] = place));
  return turns;
}

function addGainedChunk(
  state: SwarmState,
  version: WantedVersion,
  digest: Digest,
): void {
  const position = version.positions.get(digest);
  if (position === undefined || !version.held.add(position)) return;
  version.missing.splice(version.missing.indexOf(position), 1);
  recordFirstSeen(state, version, position);
  if (state.fromOrigin.delete(digest)) offerToCopiers(state, version, position);
  queueAnnouncement(state, version, position);
  reportReady(state, version);
}

function reportReady(state: SwarmState, version: WantedVersion): void {
  // A version with a chunk missing would be served partially or mixed with
  // an older one; only the complete set of this manifest's digests is ready.
  if (version.ready || version.missing.length > 0) return;
  version.ready = true;
  const {versionDigest} = version;
  state.effects.push({kind: 'ready', versionDigest});
}

function isHeldOrStoring(state: SwarmState, digest: Digest): boolean {
  return state.held.has(digest) || state.storing.has(digest);
}

function recordDownloadTime(state: SwarmState, transfer: Transfer): void {
  const time = state.now - transfer.startedAt;
  if (transfer.sender.kind === 'origin') {
    state.originTime.addSample(time);
    state.originFailures = 0;
    state.originStalls = 0;
    return;
  }
  state.neighbourTime.addSample(time);
  const neighbour = state.neighbours.get(transfer.sender.instance);
  if (neighbour === undefined) return;
  neighbour.failures = 0;
  resume(state, neighbour);
}

function countBytes(state: SwarmState, transfer: Transfer): void {
  for (const version of state.versions.values()) {
    if (!version.positions.has(transfer.digest)) continue;
    if (transfer.sender.kind === 'origin') {
      version.originBytes += transfer.size;
      return;
    }
    version.neighbourBytes += transfer.size;
    const zone = state.zones.get(transfer.sender.instance);
    if (zone !== state.options.zone) version.crossZoneBytes += transfer.size;
    return;
  }
}
