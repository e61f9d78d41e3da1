import type {
  Bytes,
  BytesPerSecond,
  Digest,
  Incarnation,
  InstanceName,
  Manifest,
  Milliseconds,
  RequestFailure,
  RolloutPreference,
  StoreIncarnation,
  SwarmDump,
  VersionDigest,
  VersionHolders,
  VersionProgress,
  ZoneName,
} from '@hibiscusbeam/core';
import type {WeightStore} from '@hibiscusbeam/platform';
import type {Result} from 'ts-results';

/** Another live agent that may take part in the swarm. */
export interface SwarmPeer {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
  /** Address of its gRPC face, `IP:port`. */
  readonly address: string;
  readonly incarnation: Incarnation;
}

/** Why the chunk store gave no answer. */
export interface ChunkStoreError {
  readonly kind: 'unavailable' | 'notHeld' | 'refused';
  readonly detail: string;
}

/** What a chunk store holds, and in which of its lives. */
export interface HeldChunks {
  readonly life: StoreIncarnation;
  readonly digests: readonly Digest[];
}

/** Where chunks are kept: the model engine's chunk interface. */
export interface ChunkStore {
  /** Keeps a verified chunk, given in pieces that are not copied together. */
  readonly put: (
    digest: Digest,
    pieces: readonly Uint8Array[],
  ) => Promise<Result<void, ChunkStoreError>>;
  readonly list: () => Promise<Result<HeldChunks, ChunkStoreError>>;
  /** Yields the chunk's bytes; ends with an error if it is not held. */
  readonly get: (
    digest: Digest,
    signal: AbortSignal,
  ) => AsyncIterable<Result<Uint8Array, ChunkStoreError>>;
}

/** What the driver needs from the agent that embeds it. */
export interface SwarmDriverOptions {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
  readonly seed: number;
  readonly weights: Pick<WeightStore, 'chunk'>;
  readonly store: ChunkStore;
  /** Most chunk bytes that downloads hold in memory at once. */
  readonly transferBuffer: Bytes;
  /** The site's share of the origin's link, when known. */
  readonly originBytesPerSecond?: BytesPerSecond;
  /** Rate of this instance's link, each way; unknown leaves it unpaced. */
  readonly linkBytesPerSecond?: BytesPerSecond;
  /** Share of the link that transfers may use at most; default all of it. */
  readonly linkShare?: () => number;
  readonly settleTime?: Milliseconds;
  /** Longest wait before a lost origin is asked again. */
  readonly longestOriginWait?: Milliseconds;
  readonly downloadSlots?: number;
  readonly uploadSlots?: number;
  readonly ownZonePicks?: number;
  readonly crossZonePicks?: number;
  readonly crossZoneRanks?: number;
  /** Reads a chunk from another agent; `grpc_chunks.ts` has one over gRPC. */
  readonly fetchChunk: (
    address: string,
    digest: Digest,
    signal: AbortSignal,
  ) => AsyncIterable<Result<Uint8Array, RequestFailure>>;
  /** Sends on the session with `instance`; dropped if there is none. */
  readonly sendHaveDelta: (
    instance: InstanceName,
    delta: HaveDeltaContent,
  ) => void;
  /** The version is whole in the store. May be called again after a loss. */
  readonly onReady?: (versionDigest: VersionDigest) => void;
  /** A sender of bad chunks was cut off. */
  readonly onCutOff?: (instance: InstanceName) => void;
  /** Monotonic milliseconds; default `performance.now`. */
  readonly now?: () => number;
}

/** The content of a HaveDelta message. */
export interface HaveDeltaContent {
  readonly versionDigest: VersionDigest;
  /** Positions in the manifest. */
  readonly gained: readonly number[];
}

/** How to fetch a wanted version. */
export interface WantOptions {
  readonly prefer: RolloutPreference;
  readonly holders: VersionHolders;
  /** The site's share of the origin's link, where it is learned later. */
  readonly originBytesPerSecond?: BytesPerSecond;
}

/** How a wait for a version ended. */
export type WaitOutcome = 'ready' | 'abandoned';

/** Moves chunks for one agent as its swarm node decides. */
export interface SwarmDriver {
  /** Asks the store what it holds; nothing is fetched before that. */
  readonly start: () => Promise<void>;
  /** Ends all transfers and timers. */
  readonly stop: () => void;
  /** All live agents, this one left out; call on every change. */
  readonly setPeers: (peers: readonly SwarmPeer[]) => void;
  /** Instances to hold a session with, as of now. */
  readonly neighbours: () => readonly InstanceName[];
  readonly want: (
    versionDigest: VersionDigest,
    manifest: Manifest,
    options: WantOptions,
  ) => void;
  readonly abandon: (versionDigest: VersionDigest) => void;
  readonly whenReady: (versionDigest: VersionDigest) => Promise<WaitOutcome>;
  readonly onPeerConnected: (instance: InstanceName) => void;
  readonly onPeerGone: (instance: InstanceName) => void;
  readonly onHaveDelta: (
    instance: InstanceName,
    delta: HaveDeltaContent,
  ) => void;
  readonly onLiveLoad: (load: {
    readonly running: number;
    readonly queued: number;
    readonly slots: number;
  }) => void;
  /** Asks the store again, after the engine restarted or lost a chunk. */
  readonly refreshHeld: () => Promise<void>;
  /** Waits for an upload slot; then yields the chunk, or says why not. */
  readonly serveChunk: (
    instance: InstanceName,
    digest: Digest,
    signal: AbortSignal,
  ) => Promise<Result<AsyncIterable<Uint8Array>, RequestFailure>>;
  /** Positions held of a wanted version; none of any other. */
  readonly heldPositions: (versionDigest: VersionDigest) => readonly number[];
  /** Whether it is known what a neighbour holds of a wanted version. */
  readonly isHaveKnown: (
    neighbour: InstanceName,
    versionDigest: VersionDigest,
  ) => boolean;
  /** Whether each chunk of a wanted version is here or with a neighbour. */
  readonly isFullyReachable: (versionDigest: VersionDigest) => boolean;
  readonly progress: () => readonly VersionProgress[];
  readonly dump: () => SwarmDump;
}
