import {unreachable} from '../kernel/flow';
import {sendDueAnnouncements} from './commands/announce';
import {
  confirmStored,
  recordStoreFailure,
  replaceHeld,
  acceptChunk,
} from './commands/chunks';
import {applyLiveLoad} from './commands/live_load';
import {
  updateMembers,
  connectNeighbour,
  disconnectNeighbour,
  applyHave,
} from './commands/neighbours';
import {scheduleNeighbours} from './commands/schedule_neighbours';
import {scheduleOrigin} from './commands/schedule_origin';
import {failTransfer, handleStalls, recordProgress} from './commands/transfers';
import {
  requestUpload,
  endUpload,
  stopStalledUploads,
  recordUploadProgress,
} from './commands/uploads';
import {dropVersion, wantVersion} from './commands/versions';
import {transferShare} from './queries/transfer_share';
import {
  dumpOf,
  heldPositionsOf,
  isHaveKnown,
  isFullyReachable,
  neighboursOf,
  progressOf,
} from './queries/progress';
import {createSwarmState, wakeAt, type SwarmState} from './state';
import type {
  SwarmEffect,
  SwarmEvent,
  SwarmNode,
  SwarmNodeOptions,
} from './types';

/** Creates the decision logic of one agent in the swarm. */
export function createSwarmNode(options: SwarmNodeOptions): SwarmNode {
  const state = createSwarmState(options);

  function handle(event: SwarmEvent, now: number): readonly SwarmEffect[] {
    state.now = now;
    state.effects = [];
    apply(state, event);
    if (!isOnlyProgress(event)) schedule(state);
    return state.effects;
  }

  return {
    handle,
    nextWakeUp: () => state.wakeUp,
    progress: () => progressOf(state),
    neighbours: () => neighboursOf(state),
    heldPositions: versionDigest => heldPositionsOf(state, versionDigest),
    isHaveKnown: (neighbour, versionDigest) =>
      isHaveKnown(state, neighbour, versionDigest),
    isFullyReachable: versionDigest => isFullyReachable(state, versionDigest),
    transferShare: () => transferShare(state),
    dump: () => dumpOf(state),
  };
}

function apply(state: SwarmState, event: SwarmEvent): void {
  switch (event.kind) {
    case 'tick':
      return;
    case 'membersChanged':
      return updateMembers(state, event.members);
    case 'versionWanted':
      state.originRate = event.originBytesPerSecond ?? state.originRate;
      return wantVersion(
        state,
        event.versionDigest,
        event.manifest,
        event.prefer,
        event.holders,
      );
    case 'versionSuperseded':
      return dropVersion(state, event.versionDigest);
    case 'neighbourHave':
      return applyHave(
        state,
        event.neighbour,
        event.versionDigest,
        event.gained,
      );
    case 'neighbourConnected':
      return connectNeighbour(state, event.neighbour);
    case 'neighbourGone':
      return disconnectNeighbour(state, event.neighbour);
    case 'progress':
      return recordProgress(state, event.transfer);
    case 'chunkArrived':
      return acceptChunk(state, event.transfer, event.digest, event.verified);
    case 'requestFailed':
      return failTransfer(state, event.transfer, event.failure);
    case 'chunkStored':
      return confirmStored(state, event.digest, event.life);
    case 'storeFailed':
      return recordStoreFailure(state, event.digest);
    case 'heldReported':
      return replaceHeld(state, event.life, event.digests);
    case 'liveRequestLoad':
      return applyLiveLoad(state, event.queued, event.slots);
    case 'uploadAsked':
      return requestUpload(state, event.upload, event.neighbour, event.digest);
    case 'uploadProgress':
      return recordUploadProgress(state, event.upload);
    case 'uploadEnded':
      return endUpload(state, event.upload);
    default:
      unreachable(event);
  }
}

/** Progress events free no slot and make no chunk due. */
function isOnlyProgress(event: SwarmEvent): boolean {
  return event.kind === 'progress' || event.kind === 'uploadProgress';
}

function schedule(state: SwarmState): void {
  state.wakeUp = undefined;
  stopStalledUploads(state);
  handleStalls(state);
  // Nothing is fetched before the store has reported what it holds. The store
  // may be down, and then chunks could not be stored.
  if (state.life !== undefined) scheduleDownloads(state);
  sendDueAnnouncements(state);
}

function scheduleDownloads(state: SwarmState): void {
  if (state.storeBackoffUntil > state.now) {
    wakeAt(state, state.storeBackoffUntil);
    return;
  }
  for (const version of state.versions.values()) {
    scheduleOrigin(state, version);
    scheduleNeighbours(state, version);
  }
}
