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

/** Handles the complete bytes of a chunk, whether verified or corrupted. */
export function acceptChunk(
  state: SwarmState,
  id: TransferId,
  digest: Digest,
  verified: boolean,
): void {
  const transfer = endTransfer(state, id);
  if (transfer === undefined) return;
  // The bytes are accepted only for the chunk that this transfer requested, and
  // only if they match its digest. Otherwise a misrouted response or a faulty
  // link would store wrong bytes under a valid digest.
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

/** Handles the confirmation of a stored chunk by store incarnation `life`. */
export function confirmStored(
  state: SwarmState,
  digest: Digest,
  life: StoreIncarnation,
): void {
  state.storing.delete(digest);
  // A restarted store has lost the chunk. Its late confirmation would mark a
  // version with a missing chunk as ready.
  if (life !== state.life) return;
  state.storeFailures = 0;
  if (state.held.has(digest)) return;
  state.held.add(digest);
  cancelChunk(state, digest);
  for (const version of state.versions.values()) {
    addGainedChunk(state, version, digest);
  }
}

/**
 * Handles a failed store operation; the chunk is fetched again after a backoff.
 */
export function recordStoreFailure(state: SwarmState, digest: Digest): void {
  state.storing.delete(digest);
  state.storeBackoffUntil = state.now + backoff(state.storeFailures);
  state.storeFailures += 1;
}

/** Replaces the held chunks with those that the store reports. */
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

/** Recomputes the held and missing positions of a version. */
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
 * Computes the order of origin requests for the missing chunks alone. Members
 * that hold an older version miss the same few chunks; in the order of all
 * chunks, the time slots of the others would pass unused.
 */
function orderMissing(version: WantedVersion): Int32Array {
  const {originOrder} = version.ranks;
  const order = [...version.missing];
  order.sort((left, right) => originOrder[left]! - originOrder[right]!);
  const missingOrder = new Int32Array(originOrder.length);
  order.forEach((position, index) => (missingOrder[position] = index));
  return missingOrder;
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
  // A version with a missing chunk would be served partially or mixed with an
  // older one, so it is ready only if all digests of its manifest are held.
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
