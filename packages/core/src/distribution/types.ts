import type {
  Bytes,
  BytesPerSecond,
  Digest,
  InstanceName,
  Manifest,
  Milliseconds,
  RolloutPreference,
  VersionDigest,
  ZoneName,
} from '../types';

/** Identifies one download of one chunk; unique within a swarm node. */
export type TransferId = number;

/** Identifies one upload; chosen by the driver and unique while it runs. */
export type UploadId = number;

/**
 * Identifies one incarnation of a chunk store; a new one means that the store
 * has lost its chunks.
 */
export type StoreIncarnation = string;

/** A live agent that may take part in the swarm. */
export interface SwarmMember {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
}

/** Instances that should hold a version. */
export type VersionHolders =
  /** All members, including this node and members that join later. */
  | 'members'
  /** These instances, live or not. */
  | readonly InstanceName[];

/** Configuration of one swarm node. */
export interface SwarmNodeOptions {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
  /** Seed of the tie-break between equally rare chunks. */
  readonly seed: number;
  /** Max chunk bytes that downloads may hold in memory at the same time. */
  readonly transferBuffer: Bytes;
  /**
   * This site's share of the origin's bandwidth. If it is known, fetchers
   * request their chunks one after the other at this rate instead of all at
   * once.
   */
  readonly originBytesPerSecond?: BytesPerSecond;
  /** Max concurrent downloads; default `DOWNLOAD_SLOTS`. */
  readonly downloadSlots?: number;
  /** Max concurrent uploads; default `UPLOAD_SLOTS`. */
  readonly uploadSlots?: number;
  /** Number of neighbours that this node picks in its own zone. */
  readonly ownZonePicks?: number;
  /** Number of neighbours that this node picks in other zones. */
  readonly crossZonePicks?: number;
  /**
   * Max members of a zone that copy the same chunk from another zone at the
   * same time; default `CROSS_ZONE_RANKS`.
   */
  readonly crossZoneRanks?: number;
  /**
   * Time to wait for the neighbours' first have-maps; default `SETTLE_TIME_MS`.
   */
  readonly settleTime?: Milliseconds;
  /**
   * Fraction of a link, from 0 to 1, that transfers always leave free; default
   * `DEFAULT_HEADROOM`.
   */
  readonly headroom?: number;
  /**
   * Max backoff before an unreachable origin is requested again; default
   * `MAX_BACKOFF_MS`.
   */
  readonly longestOriginWait?: Milliseconds;
}

/** Why a chunk request failed. */
export type RequestFailure =
  /** The sender has no free upload slot; retry after `retryAfter`. */
  | {readonly kind: 'busy'; readonly retryAfter: Milliseconds}
  /** The sender no longer holds the chunk. */
  | {readonly kind: 'notHeld'}
  /** The sender cannot be reached, or the stream broke. */
  | {readonly kind: 'unavailable'};

/** Input of a swarm node; the caller passes the time at which it is handled. */
export type SwarmEvent =
  | {readonly kind: 'tick'}
  | {readonly kind: 'membersChanged'; readonly members: readonly SwarmMember[]}
  | {
      readonly kind: 'versionWanted';
      readonly versionDigest: VersionDigest;
      readonly manifest: Manifest;
      readonly prefer: RolloutPreference;
      readonly holders: VersionHolders;
      /**
       * Overrides the rate in the options, which may only become known later.
       */
      readonly originBytesPerSecond?: BytesPerSecond;
    }
  | {readonly kind: 'versionSuperseded'; readonly versionDigest: VersionDigest}
  | {
      readonly kind: 'neighbourHave';
      readonly neighbour: InstanceName;
      readonly versionDigest: VersionDigest;
      /** Chunk positions in the manifest. */
      readonly gained: readonly number[];
    }
  /** A session with the neighbour was established. */
  | {readonly kind: 'neighbourConnected'; readonly neighbour: InstanceName}
  | {readonly kind: 'neighbourGone'; readonly neighbour: InstanceName}
  | {
      readonly kind: 'progress';
      readonly transfer: TransferId;
      readonly bytes: Bytes;
    }
  | {
      readonly kind: 'chunkArrived';
      readonly transfer: TransferId;
      readonly digest: Digest;
      /** Whether the received bytes match the chunk's digest. */
      readonly verified: boolean;
    }
  | {
      readonly kind: 'requestFailed';
      readonly transfer: TransferId;
      readonly failure: RequestFailure;
    }
  | {
      readonly kind: 'chunkStored';
      readonly digest: Digest;
      /** Incarnation of the store that stored the chunk. */
      readonly life: StoreIncarnation;
    }
  | {readonly kind: 'storeFailed'; readonly digest: Digest}
  | {
      readonly kind: 'heldReported';
      readonly life: StoreIncarnation;
      readonly digests: readonly Digest[];
    }
  | {
      readonly kind: 'liveRequestLoad';
      readonly running: number;
      readonly queued: number;
      readonly slots: number;
    }
  | {
      readonly kind: 'uploadAsked';
      readonly upload: UploadId;
      readonly neighbour: InstanceName;
      readonly digest: Digest;
    }
  | {readonly kind: 'uploadProgress'; readonly upload: UploadId}
  | {readonly kind: 'uploadEnded'; readonly upload: UploadId};

/** Action that a swarm node requests from its driver. */
export type SwarmEffect =
  | {
      readonly kind: 'askOrigin';
      readonly transfer: TransferId;
      readonly digest: Digest;
      readonly size: Bytes;
    }
  | {
      readonly kind: 'askNeighbour';
      readonly transfer: TransferId;
      readonly neighbour: InstanceName;
      readonly digest: Digest;
      readonly size: Bytes;
    }
  | {readonly kind: 'cancel'; readonly transfer: TransferId}
  /**
   * Store the bytes received by `transfer`. Without this effect the driver
   * discards them.
   */
  | {
      readonly kind: 'storeChunk';
      readonly transfer: TransferId;
      readonly digest: Digest;
      readonly life: StoreIncarnation;
    }
  | {
      readonly kind: 'announce';
      readonly neighbours: readonly InstanceName[];
      readonly versionDigest: VersionDigest;
      readonly gained: readonly number[];
    }
  | {readonly kind: 'ready'; readonly versionDigest: VersionDigest}
  | {readonly kind: 'cutOff'; readonly neighbour: InstanceName}
  | {readonly kind: 'startUpload'; readonly upload: UploadId}
  | {
      readonly kind: 'refuseUpload';
      readonly upload: UploadId;
      readonly failure: RequestFailure;
    }
  | {readonly kind: 'stopUpload'; readonly upload: UploadId};

/** Download progress of a wanted version on this node. */
export interface VersionProgress {
  readonly versionDigest: VersionDigest;
  readonly chunksHeld: number;
  readonly chunksTotal: number;
  readonly originBytes: Bytes;
  readonly neighbourBytes: Bytes;
  readonly crossZoneBytes: Bytes;
  readonly ready: boolean;
}

/**
 * Decision logic of one agent in the swarm. It performs no I/O and reads no
 * clock.
 */
export interface SwarmNode {
  /**
   * Handles one event at time `now` and returns the resulting effects in order.
   */
  readonly handle: (event: SwarmEvent, now: number) => readonly SwarmEffect[];
  /** Time at which the next `tick` is due; undefined if no timer is pending. */
  readonly nextWakeUp: () => number | undefined;
  readonly progress: () => readonly VersionProgress[];
  /** Instances to keep a session with, across all wanted versions. */
  readonly neighbours: () => readonly InstanceName[];
  /** Chunk positions held of a wanted version; empty for any other version. */
  readonly heldPositions: (versionDigest: VersionDigest) => readonly number[];
  /** Whether the neighbour's have-map of a wanted version is known. */
  readonly isHaveKnown: (
    neighbour: InstanceName,
    versionDigest: VersionDigest,
  ) => boolean;
  /**
   * Whether each missing chunk of a wanted version is held by a reachable
   * neighbour; false for any other version.
   */
  readonly isFullyReachable: (versionDigest: VersionDigest) => boolean;
  /**
   * Fraction of each link's bandwidth that transfers may use now, from 0 to 1.
   */
  readonly transferShare: () => number;
  readonly dump: () => SwarmDump;
}

/** State of a swarm node for diagnostics. */
export interface SwarmDump {
  readonly versions: readonly VersionProgress[];
  readonly downloads: readonly {
    readonly digest: Digest;
    readonly sender: string;
    readonly stalled: boolean;
  }[];
  readonly uploads: {readonly active: number; readonly waiting: number};
  readonly cutOff: readonly InstanceName[];
  readonly suspended: readonly InstanceName[];
  readonly patience: Milliseconds;
}
