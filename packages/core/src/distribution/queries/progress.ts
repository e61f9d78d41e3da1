import type {InstanceName, VersionDigest} from '../../types';
import {takeoverTimeout} from './takeover_timeout';
import type {SwarmState, WantedVersion} from '../state';
import type {SwarmDump, VersionProgress} from '../types';

/** Download progress of each wanted version. */
export function progressOf(state: SwarmState): readonly VersionProgress[] {
  return [...state.versions.values()].map(versionProgress);
}

/** Sorted neighbours across all wanted versions. */
export function neighboursOf(state: SwarmState): readonly InstanceName[] {
  const found = new Set<InstanceName>();
  for (const version of state.versions.values()) {
    for (const instance of version.neighbours) found.add(instance);
  }
  return [...found].sort();
}

/** Chunk positions held of a wanted version; empty for any other version. */
export function heldPositionsOf(
  state: SwarmState,
  versionDigest: VersionDigest,
): readonly number[] {
  return state.versions.get(versionDigest)?.held.positions() ?? [];
}

/**
 * Whether each missing chunk of a wanted version is held by a reachable
 * neighbour; false for any other version.
 */
export function isFullyReachable(
  state: SwarmState,
  versionDigest: VersionDigest,
): boolean {
  const version = state.versions.get(versionDigest);
  if (version === undefined) return false;
  return version.missing.every(position => version.availability[position]! > 0);
}

/** Whether the neighbour's have-map of a wanted version is known. */
export function isHaveKnown(
  state: SwarmState,
  neighbour: InstanceName,
  versionDigest: VersionDigest,
): boolean {
  return state.versions.get(versionDigest)?.haves.has(neighbour) === true;
}

/** State of the node for diagnostics. */
export function dumpOf(state: SwarmState): SwarmDump {
  return {
    versions: progressOf(state),
    downloads: [...state.transfers.values()].map(transfer => ({
      digest: transfer.digest,
      sender:
        transfer.sender.kind === 'origin' ? 'origin' : transfer.sender.instance,
      stalled: transfer.stalled,
    })),
    uploads: {
      active: state.uploads.size,
      waiting: state.waitingUploads.length,
    },
    cutOff: [...state.cutOff].sort(),
    suspended: [...state.neighbours.values()]
      .filter(neighbour => neighbour.suspendedUntil !== undefined)
      .map(neighbour => neighbour.instance),
    patience: takeoverTimeout(state),
  };
}

function versionProgress(version: WantedVersion): VersionProgress {
  return {
    versionDigest: version.versionDigest,
    chunksHeld: version.held.count(),
    chunksTotal: version.manifest.chunks.length,
    originBytes: version.originBytes,
    neighbourBytes: version.neighbourBytes,
    crossZoneBytes: version.crossZoneBytes,
    ready: version.ready,
  };
}
