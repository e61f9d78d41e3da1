import type {
  Milliseconds,
  Bytes,
  BytesPerSecond,
  Digest,
  InstanceName,
  Manifest,
  RolloutPreference,
  VersionDigest,
  ZoneName,
} from '../types';
import type {BitSet} from './bit_set';
import * as bounds from './bounds';
import {
  createDurationEstimate,
  type DurationEstimate,
} from './duration_estimate';
import type {OriginRanks} from './ranks';
import type {
  StoreIncarnation,
  SwarmEffect,
  SwarmNodeOptions,
  TransferId,
  UploadId,
  VersionHolders,
} from './types';

/** Where a chunk is fetched from. */
export type Sender =
  | {readonly kind: 'origin'}
  | {readonly kind: 'neighbour'; readonly instance: InstanceName};

/** A download that has not ended. */
export interface Transfer {
  readonly id: TransferId;
  readonly digest: Digest;
  readonly size: Bytes;
  readonly sender: Sender;
  readonly startedAt: number;
  lastProgress: number;
  /** True once the chunk may be asked of another sender too. */
  stalled: boolean;
}

/** What is known of one neighbour, over all versions. */
export interface Neighbour {
  readonly instance: InstanceName;
  /** No request before this time. */
  busyUntil: number;
  lastRequestedAt: number;
  /** Its chunks do not count as reachable before this time. */
  suspendedUntil: number | undefined;
  failures: number;
  badChunks: number;
  /** The one download from it, if any. */
  transfer: TransferId | undefined;
  /** Have-maps of versions that are not wanted here yet. */
  readonly unknownVersions: Map<VersionDigest, Set<number>>;
}

/** One wanted version. */
export interface WantedVersion {
  readonly versionDigest: VersionDigest;
  readonly manifest: Manifest;
  prefer: RolloutPreference;
  /** As asked for; `holders` are worked out from it. */
  wantedHolders: VersionHolders;
  /** All that should hold the version; the candidates for asking the origin. */
  holders: readonly InstanceName[];
  readonly wantedAt: number;
  readonly positions: ReadonlyMap<Digest, number>;
  readonly held: BitSet;
  /** Positions not held, in no order. */
  missing: number[];
  ranks: OriginRanks;
  /**
   * Place of each chunk among those not held when the store first reported,
   * in the order that the origin is asked in; undefined before that.
   */
  originOrder: Int32Array | undefined;
  /** This node's rank among its own zone's holders, per chunk. */
  zoneRank: Int32Array;
  neighbours: Set<InstanceName>;
  /**
   * Neighbours of other zones that have told of a chunk that this node is to copy
   * into its zone. They are not told of what it gains.
   */
  readonly crossZoneSources: Set<InstanceName>;
  readonly haves: Map<InstanceName, BitSet>;
  /** Reachable neighbours that hold each chunk. */
  readonly availability: Uint16Array;
  /** Since when no reachable neighbour holds each chunk. */
  readonly unreachableSince: Float64Array;
  /** When each chunk was first held here or by a neighbour; -1 before. */
  readonly firstSeen: Float64Array;
  /** When a chunk of each holder was last first seen, by its place. */
  lastOwnerProgress: Float64Array;
  readonly tieBreak: Uint32Array;
  readonly gained: number[];
  announceAt: number | undefined;
  ready: boolean;
  originBytes: Bytes;
  neighbourBytes: Bytes;
  crossZoneBytes: Bytes;
}

/** An upload that runs or waits. */
export interface Upload {
  readonly id: UploadId;
  readonly neighbour: InstanceName;
  readonly digest: Digest;
  startedAt: number;
  lastProgress: number;
}

/** The whole state of a swarm node. */
export interface SwarmState {
  readonly options: SwarmNodeOptions;
  now: number;
  wakeUp: number | undefined;
  effects: SwarmEffect[];
  nextTransfer: TransferId;
  /** Life of the chunk store; undefined until it reports what it holds. */
  life: StoreIncarnation | undefined;
  readonly held: Set<Digest>;
  /** Chunks that came from the origin itself. */
  readonly fromOrigin: Set<Digest>;
  /** Chunks handed to the store that it has not confirmed. */
  readonly storing: Map<Digest, Bytes>;
  /** Nothing is fetched before this time, since the store fails. */
  storeBackoffUntil: number;
  /** Rate of the origin, once it is known. */
  originRate: BytesPerSecond | undefined;
  storeFailures: number;
  zones: ReadonlyMap<InstanceName, ZoneName>;
  readonly versions: Map<VersionDigest, WantedVersion>;
  readonly neighbours: Map<InstanceName, Neighbour>;
  readonly cutOff: Set<InstanceName>;
  /** Members whose session ended and that were not heard of since. */
  readonly disconnected: Set<InstanceName>;
  readonly transfers: Map<TransferId, Transfer>;
  /** Downloads per chunk that are not stalled. */
  readonly active: Map<Digest, number>;
  originBackoffUntil: number;
  originFailures: number;
  /** Downloads from the origin given up since the last whole one. */
  originStalls: number;
  /** Ranks above 0 count their patience from here at the earliest. */
  takeoverBase: number;
  readonly uploads: Map<UploadId, Upload>;
  readonly waitingUploads: Upload[];
  readonly patience: DurationEstimate;
  readonly originTime: DurationEstimate;
  readonly neighbourTime: DurationEstimate;
  readonly uploadTime: DurationEstimate;
  /** Share of the slots that live requests leave, from 0 to 1. */
  slotShare: number;
}

const STALL_LIMITS = {
  first: bounds.INITIAL_STALL_TIMEOUT_MS,
  shortest: bounds.MIN_STALL_TIMEOUT_MS,
  longest: bounds.MAX_STALL_TIMEOUT_MS,
};

/** The state of a node that has just started. */
export function createSwarmState(options: SwarmNodeOptions): SwarmState {
  return {
    options,
    now: 0,
    wakeUp: undefined,
    effects: [],
    nextTransfer: 1,
    life: undefined,
    held: new Set(),
    fromOrigin: new Set(),
    storing: new Map(),
    storeBackoffUntil: 0,
    originRate: options.originBytesPerSecond,
    storeFailures: 0,
    zones: new Map(),
    versions: new Map(),
    neighbours: new Map(),
    cutOff: new Set(),
    disconnected: new Set(),
    transfers: new Map(),
    active: new Map(),
    originBackoffUntil: 0,
    originFailures: 0,
    originStalls: 0,
    takeoverBase: 0,
    uploads: new Map(),
    waitingUploads: [],
    patience: createDurationEstimate({
      first: bounds.INITIAL_TAKEOVER_TIMEOUT_MS,
      shortest: bounds.MIN_TAKEOVER_TIMEOUT_MS,
      longest: bounds.MAX_TAKEOVER_TIMEOUT_MS,
    }),
    originTime: createDurationEstimate(STALL_LIMITS),
    neighbourTime: createDurationEstimate(STALL_LIMITS),
    uploadTime: createDurationEstimate(STALL_LIMITS),
    slotShare: 1,
  };
}

/** Notes that something is due at `time`. */
export function wakeAt(state: SwarmState, time: number): void {
  if (state.wakeUp === undefined || time < state.wakeUp) state.wakeUp = time;
}

/** Slots of `full` that live requests leave; at least one. */
export function availableSlots(state: SwarmState, full: number): number {
  return Math.max(1, Math.floor(full * state.slotShare));
}

/** Wait after the `failures`-th failure in a row. */
export function backoff(
  failures: number,
  longest: Milliseconds = bounds.MAX_BACKOFF_MS,
): Milliseconds {
  const wait = bounds.INITIAL_BACKOFF_MS * 2 ** Math.min(failures, 16);
  return Math.min(longest, wait);
}
