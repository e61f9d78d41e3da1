import {unreachable} from '../kernel/flow';
import {announceDue} from './commands/announce';
import {
  confirmStored,
  failStored,
  replaceHeld,
  takeChunk,
} from './commands/chunks';
import {takeLiveLoad} from './commands/live_load';
import {
  changeMembers,
  connectNeighbour,
  loseNeighbour,
  takeHave,
} from './commands/neighbours';
import {scheduleNeighbours} from './commands/schedule_neighbours';
import {scheduleOrigin} from './commands/schedule_origin';
import {failTransfer, findStalls, noteProgress} from './commands/transfers';
import {
  askUpload,
  endUpload,
  findStalledUploads,
  noteUploadProgress,
} from './commands/uploads';
import {dropVersion, wantVersion} from './commands/versions';
import {transferShare} from './queries/headroom';
import {
  dumpOf,
  heldPositionsOf,
  isHaveKnown,
  isWithinReach,
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

/** Creates the decisions of one agent in the swarm. */
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
    isWithinReach: versionDigest => isWithinReach(state, versionDigest),
    transferShare: () => transferShare(state),
    dump: () => dumpOf(state),
  };
}

function apply(state: SwarmState, event: SwarmEvent): void {
  switch (event.kind) {
    case 'tick':
      return;
    case 'membersChanged':
      return changeMembers(state, event.members);
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
      return takeHave(
        state,
        event.neighbour,
        event.versionDigest,
        event.gained,
      );
    case 'neighbourConnected':
      return connectNeighbour(state, event.neighbour);
    case 'neighbourGone':
      return loseNeighbour(state, event.neighbour);
    case 'progress':
      return noteProgress(state, event.transfer);
    case 'chunkArrived':
      return takeChunk(state, event.transfer, event.digest, event.verified);
    case 'requestFailed':
      return failTransfer(state, event.transfer, event.failure);
    case 'chunkStored':
      return confirmStored(state, event.digest, event.life);
    case 'storeFailed':
      return failStored(state, event.digest);
    case 'heldReported':
      return replaceHeld(state, event.life, event.digests);
    case 'liveRequestLoad':
      return takeLiveLoad(state, event.queued, event.slots);
    case 'uploadAsked':
      return askUpload(state, event.upload, event.neighbour, event.digest);
    case 'uploadProgress':
      return noteUploadProgress(state, event.upload);
    case 'uploadEnded':
      return endUpload(state, event.upload);
    default:
      unreachable(event);
  }
}

/** Progress alone frees no slot and makes no chunk due. */
function isOnlyProgress(event: SwarmEvent): boolean {
  return event.kind === 'progress' || event.kind === 'uploadProgress';
}

function schedule(state: SwarmState): void {
  state.wakeUp = undefined;
  findStalledUploads(state);
  findStalls(state);
  // Nothing is fetched before the store has said what it holds: it might be
  // down, and then there is nowhere to put a chunk.
  if (state.life !== undefined) scheduleDownloads(state);
  announceDue(state);
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
