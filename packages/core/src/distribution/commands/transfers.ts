import {unreachable} from '../../kernel/flow';
import type {Bytes, Digest} from '../../types';
import * as bounds from '../bounds';
import {
  backoff,
  wakeAt,
  type Neighbour,
  type Sender,
  type SwarmState,
  type Transfer,
} from '../state';
import type {RequestFailure, TransferId} from '../types';
import {removeHave, resume, suspend} from './availability';

/** Starts to download a chunk from `sender`. */
export function startTransfer(
  state: SwarmState,
  digest: Digest,
  size: Bytes,
  sender: Sender,
): void {
  const id = state.nextTransfer;
  state.nextTransfer += 1;
  state.transfers.set(id, {
    id,
    digest,
    size,
    sender,
    startedAt: state.now,
    lastProgress: state.now,
    stalled: false,
  });
  state.active.set(digest, (state.active.get(digest) ?? 0) + 1);
  if (sender.kind === 'origin') {
    state.effects.push({kind: 'askOrigin', transfer: id, digest, size});
    return;
  }
  const neighbour = state.neighbours.get(sender.instance);
  if (neighbour !== undefined) {
    neighbour.transfer = id;
    neighbour.lastRequestedAt = state.now;
  }
  state.effects.push({
    kind: 'askNeighbour',
    transfer: id,
    neighbour: sender.instance,
    digest,
    size,
  });
}

/** Forgets a download that has ended; its chunk may be asked for again. */
export function endTransfer(
  state: SwarmState,
  id: TransferId,
): Transfer | undefined {
  const transfer = state.transfers.get(id);
  if (transfer === undefined) return undefined;
  state.transfers.delete(id);
  if (!transfer.stalled) lowerActive(state, transfer.digest);
  const neighbour = senderOf(state, transfer);
  if (neighbour?.transfer === id) neighbour.transfer = undefined;
  return transfer;
}

/** Ends a download that nobody needs or that will not come. */
export function cancelTransfer(state: SwarmState, id: TransferId): void {
  if (endTransfer(state, id) === undefined) return;
  state.effects.push({kind: 'cancel', transfer: id});
}

/** Ends all downloads of a chunk. */
export function cancelChunk(state: SwarmState, digest: Digest): void {
  for (const transfer of [...state.transfers.values()]) {
    if (transfer.digest === digest) cancelTransfer(state, transfer.id);
  }
}

/** Takes in that a request brought no chunk. */
export function failTransfer(
  state: SwarmState,
  id: TransferId,
  failure: RequestFailure,
): void {
  const transfer = endTransfer(state, id);
  if (transfer === undefined) return;
  if (transfer.sender.kind === 'origin') {
    failOrigin(state, failure);
    return;
  }
  const neighbour = senderOf(state, transfer);
  if (neighbour === undefined) return;
  switch (failure.kind) {
    case 'busy':
      neighbour.busyUntil = state.now + failure.retryAfter;
      return;
    case 'notHeld':
      forgetChunk(state, neighbour, transfer.digest);
      return;
    case 'unavailable':
      failNeighbour(state, neighbour);
      return;
    default:
      unreachable(failure);
  }
}

/** Takes in a sender's chunk whose digest is wrong. */
export function recordBadChunk(state: SwarmState, transfer: Transfer): void {
  const neighbour = senderOf(state, transfer);
  if (neighbour === undefined) {
    failOrigin(state, {kind: 'unavailable'});
    return;
  }
  neighbour.badChunks += 1;
  // A sender of bad chunks costs a download each time and would be asked
  // again for ever, since it claims to hold them. One bad chunk may be the
  // link's fault; a second one ends all requests to that instance.
  if (neighbour.badChunks < bounds.BAD_CHUNKS_UNTIL_CUT_OFF) {
    forgetChunk(state, neighbour, transfer.digest);
    return;
  }
  // It stays a neighbour that hears what is held here: its own downloads may
  // be whole, and without have-maps it would never complete.
  state.cutOff.add(neighbour.instance);
  suspend(state, neighbour, Infinity);
  for (const version of state.versions.values()) {
    version.haves.delete(neighbour.instance);
  }
  state.effects.push({kind: 'cutOff', neighbour: neighbour.instance});
}

/** Notes bytes of a download. */
export function recordProgress(state: SwarmState, id: TransferId): void {
  const transfer = state.transfers.get(id);
  if (transfer === undefined) return;
  transfer.lastProgress = state.now;
  const neighbour = senderOf(state, transfer);
  if (neighbour === undefined) return;
  neighbour.failures = 0;
  if (neighbour.suspendedUntil !== undefined) resume(state, neighbour);
}

/**
 * Finds downloads without progress. A frozen sender keeps its connection open
 * and would hold the chunk for ever; after a learned time the chunk may be
 * asked of another, and after twice that time the download is given up.
 */
export function handleStalls(state: SwarmState): void {
  for (const transfer of [...state.transfers.values()]) {
    const limit = stallLimit(state, transfer);
    const idle = state.now - transfer.lastProgress;
    if (idle >= 2 * limit) {
      cancelTransfer(state, transfer.id);
      if (transfer.sender.kind === 'origin') state.originStalls += 1;
      continue;
    }
    if (idle >= limit && !transfer.stalled) markStalled(state, transfer, limit);
    const next = transfer.stalled ? 2 * limit : limit;
    wakeAt(state, transfer.lastProgress + next);
  }
  for (const neighbour of state.neighbours.values()) {
    const until = neighbour.suspendedUntil;
    if (until === undefined || until === Infinity) continue;
    if (until <= state.now) resume(state, neighbour);
    else wakeAt(state, until);
  }
}

function markStalled(
  state: SwarmState,
  transfer: Transfer,
  limit: number,
): void {
  transfer.stalled = true;
  lowerActive(state, transfer.digest);
  const neighbour = senderOf(state, transfer);
  if (neighbour === undefined) return;
  neighbour.failures += 1;
  suspend(state, neighbour, state.now + limit * 2 ** neighbour.failures);
}

function stallLimit(state: SwarmState, transfer: Transfer): number {
  if (transfer.sender.kind === 'neighbour') return state.neighbourTime.bound();
  // Many fetchers at once make each download from the origin slow. Giving up
  // after a fixed time, all would start over again for ever and none would
  // end; with twice the time after each, they end.
  const limit = state.originTime.bound() * 2 ** state.originStalls;
  return Math.min(bounds.MAX_ORIGIN_STALL_TIMEOUT_MS, limit);
}

function failOrigin(state: SwarmState, failure: RequestFailure): void {
  const wait =
    failure.kind === 'busy'
      ? failure.retryAfter
      : backoff(state.originFailures, state.options.longestOriginWait);
  state.originFailures += 1;
  state.originBackoffUntil = state.now + wait;
  // While the origin answers nobody, the patience of every rank runs out at
  // once, and after the outage all would ask for the same chunks. Counting it
  // anew from the last failure keeps the ranks apart.
  state.takeoverBase = state.originBackoffUntil;
}

function failNeighbour(state: SwarmState, neighbour: Neighbour): void {
  const wait = backoff(neighbour.failures);
  neighbour.failures += 1;
  neighbour.busyUntil = state.now + wait;
  suspend(state, neighbour, state.now + wait);
}

function forgetChunk(
  state: SwarmState,
  neighbour: Neighbour,
  digest: Digest,
): void {
  for (const version of state.versions.values()) {
    const position = version.positions.get(digest);
    if (position === undefined) continue;
    removeHave(state, version, neighbour, position);
  }
}

function lowerActive(state: SwarmState, digest: Digest): void {
  const left = (state.active.get(digest) ?? 1) - 1;
  if (left === 0) state.active.delete(digest);
  else state.active.set(digest, left);
}

function senderOf(
  state: SwarmState,
  transfer: Transfer,
): Neighbour | undefined {
  if (transfer.sender.kind === 'origin') return undefined;
  return state.neighbours.get(transfer.sender.instance);
}
