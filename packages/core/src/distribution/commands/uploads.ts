import type {Digest, InstanceName, Milliseconds} from '../../types';
import * as bounds from '../bounds';
import {slotsLeft, wakeAt, type SwarmState, type Upload} from '../state';
import type {RequestFailure, UploadId} from '../types';
import {announceAll} from './announce';
import {forgetHave} from './availability';

/** Admits, queues or refuses an upload that a neighbour asks for. */
export function askUpload(
  state: SwarmState,
  id: UploadId,
  neighbour: InstanceName,
  digest: Digest,
): void {
  if (!state.held.has(digest)) {
    refuse(state, id, {kind: 'notHeld'});
    return;
  }
  correctHave(state, neighbour, digest);
  // The others of its zone wait for this copy, which comes once; those of the
  // own zone can have the chunk from one another too.
  const goesFirst = state.zones.get(neighbour) !== state.options.zone;
  if (isServed(state, neighbour) || (isFull(state) && !goesFirst)) {
    refuse(state, id, {kind: 'busy', retryAfter: retryAfter(state)});
    return;
  }
  const {now} = state;
  const upload = {id, neighbour, digest, startedAt: now, lastProgress: now};
  if (goesFirst) state.waitingUploads.unshift(upload);
  else state.waitingUploads.push(upload);
  startWaiting(state);
}

/** Notes that a piece of an upload was taken by the other side. */
export function noteUploadProgress(state: SwarmState, id: UploadId): void {
  const upload = state.uploads.get(id);
  if (upload !== undefined) upload.lastProgress = state.now;
}

/** Frees the slot of an upload that ended, whether whole or not. */
export function endUpload(state: SwarmState, id: UploadId): void {
  const upload = state.uploads.get(id);
  if (upload !== undefined) {
    state.uploadTime.add(state.now - upload.startedAt);
    state.uploads.delete(id);
  }
  const waiting = state.waitingUploads.findIndex(entry => entry.id === id);
  if (waiting >= 0) state.waitingUploads.splice(waiting, 1);
  startWaiting(state);
}

/**
 * Stops uploads that the other side does not read. A frozen reader keeps its
 * stream open and would hold an upload slot for ever.
 */
export function findStalledUploads(state: SwarmState): void {
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
  startWaiting(state);
}

function startWaiting(state: SwarmState): void {
  const slots = slotsLeft(
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

/** A neighbour that asks for what it once held has lost its chunks. */
function correctHave(
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
    announceAll(state, version, [instance]);
  }
}

function isServed(state: SwarmState, neighbour: InstanceName): boolean {
  const isSame = (upload: Upload) => upload.neighbour === neighbour;
  return (
    state.waitingUploads.some(isSame) ||
    [...state.uploads.values()].some(isSame)
  );
}

function isFull(state: SwarmState): boolean {
  return state.waitingUploads.length >= bounds.WAITING_UPLOADS;
}

/** Time until about half of the waiting uploads are through. */
function retryAfter(state: SwarmState): Milliseconds {
  const uploadTime = state.uploadTime.mean() ?? bounds.FIRST_BACKOFF;
  const slots = slotsLeft(
    state,
    state.options.uploadSlots ?? bounds.UPLOAD_SLOTS,
  );
  const half = (state.waitingUploads.length + 1) / 2;
  return Math.min(bounds.LONGEST_BACKOFF, (uploadTime * half) / slots);
}

function refuse(
  state: SwarmState,
  upload: UploadId,
  failure: RequestFailure,
): void {
  state.effects.push({kind: 'refuseUpload', upload, failure});
}
