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
  /** Address of its gRPC server, `IP:port`. */
  readonly address: string;
  readonly incarnation: Incarnation;
}

/** Why the chunk store gave no answer. */
export interface ChunkStoreError {
  readonly kind: 'unavailable' | 'notHeld' | 'refused';
  readonly detail: string;
}

/** The chunks that a store holds, and the store's incarnation. */
export interface HeldChunks {
  readonly life: StoreIncarnation;
  readonly digests: readonly Digest[];
}

/** A store of chunks: the model engine's chunk interface. */
export interface ChunkStore {
  /** Stores a verified chunk, passed in pieces to avoid a copy. */
  readonly put: (
    digest: Digest,
    pieces: readonly Uint8Array[],
  ) => Promise<Result<void, ChunkStoreError>>;
  readonly list: () => Promise<Result<HeldChunks, ChunkStoreError>>;
  /** Yields the chunk's bytes; the last item is an error if it is not held. */
  readonly get: (
    digest: Digest,
    signal: AbortSignal,
  ) => AsyncIterable<Result<Uint8Array, ChunkStoreError>>;
}

/** Options of {@link SwarmDriver}, given by the agent that embeds it. */
export interface SwarmDriverOptions {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
  readonly seed: number;
  readonly weights: Pick<WeightStore, 'chunk'>;
  readonly store: ChunkStore;
  /** Max chunk bytes that downloads hold in memory at once. */
  readonly transferBuffer: Bytes;
  /** The site's share of the origin's link, when known. */
  readonly originBytesPerSecond?: BytesPerSecond;
  /** Rate of this instance's link in each direction; unpaced if unknown. */
  readonly linkBytesPerSecond?: BytesPerSecond;
  /** Max share of the link that transfers may use; default all of it. */
  readonly linkShare?: () => number;
  readonly settleTime?: Milliseconds;
  /** Max wait before a request to an unavailable origin is retried. */
  readonly longestOriginWait?: Milliseconds;
  readonly downloadSlots?: number;
  readonly uploadSlots?: number;
  readonly ownZonePicks?: number;
  readonly crossZonePicks?: number;
  readonly crossZoneRanks?: number;
  /** Reads a chunk from another agent, see `fetchChunkOverGrpc`. */
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
  /** Called when the store holds all of the version; again after a loss. */
  readonly onReady?: (versionDigest: VersionDigest) => void;
  /** Called when an instance that sent corrupted chunks is cut off. */
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
  /** The site's share of the origin's link, if it is learned later. */
  readonly originBytesPerSecond?: BytesPerSecond;
}

/** How a wait for a version ended. */
export type WaitOutcome = 'ready' | 'abandoned';

/** Transfers chunks for one agent as its swarm node decides. */
export interface SwarmDriver {
  /** Lists the store's chunks; nothing is fetched before that. */
  readonly start: () => Promise<void>;
  /** Ends all transfers and timers. */
  readonly stop: () => void;
  /** Sets all live agents but this one; call on every change. */
  readonly setPeers: (peers: readonly SwarmPeer[]) => void;
  /** Instances to hold a session with at present. */
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
  /** Lists the store again, after the engine restarted or lost a chunk. */
  readonly refreshHeld: () => Promise<void>;
  /** Waits for an upload slot; resolves to the chunk or the failure. */
  readonly serveChunk: (
    instance: InstanceName,
    digest: Digest,
    signal: AbortSignal,
  ) => Promise<Result<AsyncIterable<Uint8Array>, RequestFailure>>;
  /** Positions held of a wanted version; empty for any other version. */
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
