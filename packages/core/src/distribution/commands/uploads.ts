import type {Digest, InstanceName, Milliseconds} from '../../types';
import * as bounds from '../bounds';
import {availableSlots, wakeAt, type SwarmState, type Upload} from '../state';
import type {RequestFailure, UploadId} from '../types';
import {announceHeld} from './announce';
import {forgetHave} from './availability';

/** Starts, queues or refuses an upload that a neighbour requests. */
export function requestUpload(
  state: SwarmState,
  id: UploadId,
  neighbour: InstanceName,
  digest: Digest,
): void {
  if (!state.held.has(digest)) {
    refuse(state, id, {kind: 'notHeld'});
    return;
  }
  resetStaleHave(state, neighbour, digest);
  // A node in another zone goes first: its whole zone waits for this single
  // copy, while nodes in this zone can also get the chunk from one another.
  const isPrioritized = state.zones.get(neighbour) !== state.options.zone;
  if (hasUpload(state, neighbour) || (isQueueFull(state) && !isPrioritized)) {
    refuse(state, id, {kind: 'busy', retryAfter: retryAfter(state)});
    return;
  }
  const {now} = state;
  const upload = {id, neighbour, digest, startedAt: now, lastProgress: now};
  if (isPrioritized) state.waitingUploads.unshift(upload);
  else state.waitingUploads.push(upload);
  startWaitingUploads(state);
}

/** Records that the other side received a piece of an upload. */
export function recordUploadProgress(state: SwarmState, id: UploadId): void {
  const upload = state.uploads.get(id);
  if (upload !== undefined) upload.lastProgress = state.now;
}

/** Frees the slot of an upload that has ended, complete or not. */
export function endUpload(state: SwarmState, id: UploadId): void {
  const upload = state.uploads.get(id);
  if (upload !== undefined) {
    state.uploadTime.addSample(state.now - upload.startedAt);
    state.uploads.delete(id);
  }
  const waiting = state.waitingUploads.findIndex(entry => entry.id === id);
  if (waiting >= 0) state.waitingUploads.splice(waiting, 1);
  startWaitingUploads(state);
}

/**
 * Stops uploads that the other side does not read. A frozen reader keeps its
 * stream open and would occupy an upload slot forever.
 */
export function stopStalledUploads(state: SwarmState): void {
  const limit = state.uploadTime.bound();
  for (const upload of [...state.uploads.values()]) {
    const stopAt = upload.lastProgress + limit;
    if (stopAt > state.now) {
      wakeAt(state, stopAt);
      continue;
    }
    state.uploads.delete(upload.id);
    state.effects.push({kind: 'stopUpload', upload: upload.id});
  }
  startWaitingUploads(state);
}

function startWaitingUploads(state: SwarmState): void {
  const slots = availableSlots(
    state,
    state.options.uploadSlots ?? bounds.UPLOAD_SLOTS,
  );
  while (state.uploads.size < slots) {
    const next = state.waitingUploads.shift();
    if (next === undefined) return;
    next.startedAt = state.now;
    next.lastProgress = state.now;
    state.uploads.set(next.id, next);
    state.effects.push({kind: 'startUpload', upload: next.id});
  }
}

/**
 * Resets the have-map of a neighbour that requests a chunk it has announced: it
 * has lost its chunks.
 */
function resetStaleHave(
  state: SwarmState,
  instance: InstanceName,
  digest: Digest,
): void {
  const neighbour = state.neighbours.get(instance);
  if (neighbour === undefined) return;
  for (const version of state.versions.values()) {
    const position = version.positions.get(digest);
    if (position === undefined) continue;
    if (version.haves.get(instance)?.has(position) !== true) continue;
    forgetHave(state, version, neighbour);
    announceHeld(state, version, [instance]);
  }
}

function hasUpload(state: SwarmState, neighbour: InstanceName): boolean {
  const isSame = (upload: Upload) => upload.neighbour === neighbour;
  return (
    state.waitingUploads.some(isSame) ||
    [...state.uploads.values()].some(isSame)
  );
}

function isQueueFull(state: SwarmState): boolean {
  return state.waitingUploads.length >= bounds.MAX_WAITING_UPLOADS;
}

/** Estimated time until about half of the waiting uploads are done. */
function retryAfter(state: SwarmState): Milliseconds {
  const uploadTime = state.uploadTime.mean() ?? bounds.INITIAL_BACKOFF_MS;
  const slots = availableSlots(
    state,
    state.options.uploadSlots ?? bounds.UPLOAD_SLOTS,
  );
  const half = (state.waitingUploads.length + 1) / 2;
  return Math.min(bounds.MAX_BACKOFF_MS, (uploadTime * half) / slots);
}

function refuse(
  state: SwarmState,
  upload: UploadId,
  failure: RequestFailure,
): void {
  state.effects.push({kind: 'refuseUpload', upload, failure});
}
