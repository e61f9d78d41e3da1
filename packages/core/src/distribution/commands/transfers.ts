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

/** Starts the download of a chunk from `sender`. */
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

/** Removes a download that has ended; its chunk may be requested again. */
export function endTransfer(
  state: SwarmState,
  id: TransferId,
): Transfer | undefined {
  const transfer = state.transfers.get(id);
  if (transfer === undefined) return undefined;
  state.transfers.delete(id);
  if (!transfer.stalled) decrementActive(state, transfer.digest);
  const neighbour = senderOf(state, transfer);
  if (neighbour?.transfer === id) neighbour.transfer = undefined;
  return transfer;
}

/** Cancels a download that is no longer needed or will not complete. */
export function cancelTransfer(state: SwarmState, id: TransferId): void {
  if (endTransfer(state, id) === undefined) return;
  state.effects.push({kind: 'cancel', transfer: id});
}

/** Cancels all downloads of a chunk. */
export function cancelChunk(state: SwarmState, digest: Digest): void {
  for (const transfer of [...state.transfers.values()]) {
    if (transfer.digest === digest) cancelTransfer(state, transfer.id);
  }
}

/** Handles a failed chunk request. */
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

/** Handles a chunk that does not match its digest. */
export function recordBadChunk(state: SwarmState, transfer: Transfer): void {
  const neighbour = senderOf(state, transfer);
  if (neighbour === undefined) {
    failOrigin(state, {kind: 'unavailable'});
    return;
  }
  neighbour.badChunks += 1;
  // A sender of bad chunks costs a download each time and would be requested
  // again forever, because it claims to hold them. One bad chunk may be a link
  // error; a second one ends all requests to that instance.
  if (neighbour.badChunks < bounds.BAD_CHUNKS_UNTIL_CUT_OFF) {
    forgetChunk(state, neighbour, transfer.digest);
    return;
  }
  // It remains a neighbour that receives announcements: its own downloads may
  // be intact, and without have-maps it would never complete.
  state.cutOff.add(neighbour.instance);
  suspend(state, neighbour, Infinity);
  for (const version of state.versions.values()) {
    version.haves.delete(neighbour.instance);
  }
  state.effects.push({kind: 'cutOff', neighbour: neighbour.instance});
}

/** Records progress of a download. */
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
 * Handles downloads without progress. A frozen sender keeps its connection open
 * and would block the chunk forever. After an estimated time the chunk may be
 * requested from another sender, and after twice that time the download is
 * cancelled.
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
  decrementActive(state, transfer.digest);
  const neighbour = senderOf(state, transfer);
  if (neighbour === undefined) return;
  neighbour.failures += 1;
  suspend(state, neighbour, state.now + limit * 2 ** neighbour.failures);
}

function stallLimit(state: SwarmState, transfer: Transfer): number {
  if (transfer.sender.kind === 'neighbour') return state.neighbourTime.bound();
  // Many concurrent fetchers slow down each download from the origin. With a
  // fixed timeout all would cancel, restart and never finish. Doubling the
  // timeout after each cancelled download lets them finish.
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
  // While the origin is down, the takeover timeouts of all ranks expire
  // together, and after the outage all nodes would request the same chunks.
  // Restarting the timeouts after each failure's backoff keeps the ranks apart.
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

function decrementActive(state: SwarmState, digest: Digest): void {
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
