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

/** Source that a chunk is downloaded from. */
export type Sender =
  | {readonly kind: 'origin'}
  | {readonly kind: 'neighbour'; readonly instance: InstanceName};

/** A download in progress. */
export interface Transfer {
  readonly id: TransferId;
  readonly digest: Digest;
  readonly size: Bytes;
  readonly sender: Sender;
  readonly startedAt: number;
  lastProgress: number;
  /** True once the chunk may also be requested from another sender. */
  stalled: boolean;
}

/** State of one neighbour, across all versions. */
export interface Neighbour {
  readonly instance: InstanceName;
  /** No requests are sent to the neighbour before this time. */
  busyUntil: number;
  lastRequestedAt: number;
  /** The neighbour's chunks count as unreachable until this time. */
  suspendedUntil: number | undefined;
  failures: number;
  badChunks: number;
  /** The current download from this neighbour; at most one at a time. */
  transfer: TransferId | undefined;
  /** Have-maps of versions that this node does not want yet. */
  readonly unknownVersions: Map<VersionDigest, Set<number>>;
}

/** Download state of one wanted version. */
export interface WantedVersion {
  readonly versionDigest: VersionDigest;
  readonly manifest: Manifest;
  prefer: RolloutPreference;
  /** The requested holders, from which `holders` is derived. */
  wantedHolders: VersionHolders;
  /**
   * All instances that should hold the version, and thus the candidates for
   * fetching from the origin.
   */
  holders: readonly InstanceName[];
  readonly wantedAt: number;
  readonly positions: ReadonlyMap<Digest, number>;
  readonly held: BitSet;
  /** Positions of the chunks not held, unordered. */
  missing: number[];
  ranks: OriginRanks;
  /**
   * Position of each chunk in the order of origin requests, counting only the
   * chunks that were missing at the store's first report; undefined before that
   * report.
   */
  originOrder: Int32Array | undefined;
  /** This node's rank among the holders in its own zone, per chunk. */
  zoneRank: Int32Array;
  neighbours: Set<InstanceName>;
  /**
   * Neighbours in other zones that announced a chunk which this node should
   * copy into its zone. This node does not announce its own gains to them.
   */
  readonly crossZoneSources: Set<InstanceName>;
  readonly haves: Map<InstanceName, BitSet>;
  /** Number of reachable neighbours that hold each chunk. */
  readonly availability: Uint16Array;
  /** Time since which no reachable neighbour holds the chunk, per chunk. */
  readonly unreachableSince: Float64Array;
  /**
   * Time at which the chunk was first held here or by a neighbour, per chunk;
   * -1 before that.
   */
  readonly firstSeen: Float64Array;
  /**
   * Time at which a chunk owned by the holder was last seen for the first time,
   * indexed by position in `holders`.
   */
  lastOwnerProgress: Float64Array;
  readonly tieBreak: Uint32Array;
  readonly gained: number[];
  announceAt: number | undefined;
  ready: boolean;
  originBytes: Bytes;
  neighbourBytes: Bytes;
  crossZoneBytes: Bytes;
}

/** An upload that is running or waiting for a slot. */
export interface Upload {
  readonly id: UploadId;
  readonly neighbour: InstanceName;
  readonly digest: Digest;
  startedAt: number;
  lastProgress: number;
}

/** Complete state of a swarm node. */
export interface SwarmState {
  readonly options: SwarmNodeOptions;
  now: number;
  wakeUp: number | undefined;
  effects: SwarmEffect[];
  nextTransfer: TransferId;
  /**
   * Incarnation of the chunk store; undefined until the store reports what it
   * holds.
   */
  life: StoreIncarnation | undefined;
  readonly held: Set<Digest>;
  /** Chunks downloaded from the origin that are not stored yet. */
  readonly fromOrigin: Set<Digest>;
  /** Sizes of the chunks passed to the store and not yet confirmed by it. */
  readonly storing: Map<Digest, Bytes>;
  /** No downloads start before this time, because the store has failed. */
  storeBackoffUntil: number;
  /** This site's share of the origin's bandwidth, once it is known. */
  originRate: BytesPerSecond | undefined;
  storeFailures: number;
  zones: ReadonlyMap<InstanceName, ZoneName>;
  readonly versions: Map<VersionDigest, WantedVersion>;
  readonly neighbours: Map<InstanceName, Neighbour>;
  readonly cutOff: Set<InstanceName>;
  /** Members whose session ended and that have sent nothing since. */
  readonly disconnected: Set<InstanceName>;
  readonly transfers: Map<TransferId, Transfer>;
  /** Number of downloads per chunk that are not stalled. */
  readonly active: Map<Digest, number>;
  originBackoffUntil: number;
  originFailures: number;
  /**
   * Downloads from the origin that were cancelled since the last complete one.
   */
  originStalls: number;
  /** Earliest time from which ranks above 0 count their takeover timeout. */
  takeoverBase: number;
  readonly uploads: Map<UploadId, Upload>;
  readonly waitingUploads: Upload[];
  readonly patience: DurationEstimate;
  readonly originTime: DurationEstimate;
  readonly neighbourTime: DurationEstimate;
  readonly uploadTime: DurationEstimate;
  /** Fraction of the slots that live requests leave free, from 0 to 1. */
  slotShare: number;
}

const STALL_LIMITS = {
  first: bounds.INITIAL_STALL_TIMEOUT_MS,
  shortest: bounds.MIN_STALL_TIMEOUT_MS,
  longest: bounds.MAX_STALL_TIMEOUT_MS,
};

/** Creates the state of a node that has just started. */
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

/** Requests a wake-up at `time`, unless an earlier one is pending. */
export function wakeAt(state: SwarmState, time: number): void {
  if (state.wakeUp === undefined || time < state.wakeUp) state.wakeUp = time;
}

/** Number of `full` slots that live requests leave free; at least one. */
export function availableSlots(state: SwarmState, full: number): number {
  return Math.max(1, Math.floor(full * state.slotShare));
}

/** Exponential backoff after `failures` earlier failures in a row. */
export function backoff(
  failures: number,
  longest: Milliseconds = bounds.MAX_BACKOFF_MS,
): Milliseconds {
  const wait = bounds.INITIAL_BACKOFF_MS * 2 ** Math.min(failures, 16);
  return Math.min(longest, wait);
}
