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

/** Identifies one upload; chosen by the driver, unique within its life. */
export type UploadId = number;

/** Number of a chunk store's life; a new one means that it lost its chunks. */
export type StoreIncarnation = string;

/** A live agent that may take part in the swarm. */
export interface SwarmMember {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
}

/** Who should hold a version. */
export type VersionHolders =
  /** All members, this node among them, also those that join later. */
  | 'members'
  /** These instances, live or not. */
  | readonly InstanceName[];

/** Bounds and preferences of one swarm node. */
export interface SwarmNodeOptions {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
  /** Seed of the tie-break between equally rare chunks. */
  readonly seed: number;
  /** Most chunk bytes that downloads may hold in memory at once. */
  readonly transferBuffer: Bytes;
  /**
   * The site's share of the origin's link. When known, fetchers start their
   * chunks one after the other at this rate, not all at once.
   */
  readonly originBytesPerSecond?: BytesPerSecond;
  /** Downloads at once; default `DOWNLOAD_SLOTS`. */
  readonly downloadSlots?: number;
  /** Uploads at once; default `UPLOAD_SLOTS`. */
  readonly uploadSlots?: number;
  /** Members of the own zone that this node picks as neighbours. */
  readonly ownZonePicks?: number;
  /** Members of other zones that this node picks as neighbours. */
  readonly crossZonePicks?: number;
  /**
   * Members of a zone that may copy a chunk in from another zone at once;
   * default `CROSS_ZONE_RANKS`.
   */
  readonly crossZoneRanks?: number;
  /** Wait for the first have-maps; default `SETTLE_TIME`. */
  readonly settleTime?: Milliseconds;
  /**
   * Share of a link, from 0 to 1, that transfers leave free at all times;
   * default `HEADROOM`.
   */
  readonly headroom?: number;
  /** Longest wait before a lost origin is asked again; default `LONGEST_BACKOFF`. */
  readonly longestOriginWait?: Milliseconds;
}

/** Why a request for a chunk brought none. */
export type RequestFailure =
  /** The sender has no free slot; ask again after `retryAfter`. */
  | {readonly kind: 'busy'; readonly retryAfter: Milliseconds}
  /** The sender no longer holds the chunk. */
  | {readonly kind: 'notHeld'}
  /** The sender cannot be reached, or the stream broke. */
  | {readonly kind: 'unavailable'};

/** What a swarm node is told; each comes with the time it is handled at. */
export type SwarmEvent =
  | {readonly kind: 'tick'}
  | {readonly kind: 'membersChanged'; readonly members: readonly SwarmMember[]}
  | {
      readonly kind: 'versionWanted';
      readonly versionDigest: VersionDigest;
      readonly manifest: Manifest;
      readonly prefer: RolloutPreference;
      readonly holders: VersionHolders;
      /** Replaces the rate of the options, where it is learned later. */
      readonly originBytesPerSecond?: BytesPerSecond;
    }
  | {readonly kind: 'versionSuperseded'; readonly versionDigest: VersionDigest}
  | {
      readonly kind: 'neighbourHave';
      readonly neighbour: InstanceName;
      readonly versionDigest: VersionDigest;
      /** Positions in the manifest. */
      readonly gained: readonly number[];
    }
  /** A session with the neighbour began. */
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
      /** True if the bytes' digest is the chunk's. */
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
      /** Life of the store that took the chunk. */
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

/** What a swarm node asks its driver to do. */
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
  /** Store the bytes that `transfer` brought; drop them if not asked to. */
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

/** How far a wanted version has come on this node. */
export interface VersionProgress {
  readonly versionDigest: VersionDigest;
  readonly chunksHeld: number;
  readonly chunksTotal: number;
  readonly originBytes: Bytes;
  readonly neighbourBytes: Bytes;
  readonly crossZoneBytes: Bytes;
  readonly ready: boolean;
}

/** The decisions of one agent in the swarm. Pure: no I/O and no clock. */
export interface SwarmNode {
  /** Takes in one event at `now`; returns what to do, in order. */
  readonly handle: (event: SwarmEvent, now: number) => readonly SwarmEffect[];
  /** When a `tick` is next due; undefined while nothing waits for time. */
  readonly nextWakeUp: () => number | undefined;
  readonly progress: () => readonly VersionProgress[];
  /** Instances to hold a session with, over all wanted versions. */
  readonly neighbours: () => readonly InstanceName[];
  /** Positions held of a wanted version; none of any other. */
  readonly heldPositions: (versionDigest: VersionDigest) => readonly number[];
  /** Whether it is known what a neighbour holds of a wanted version. */
  readonly isHaveKnown: (
    neighbour: InstanceName,
    versionDigest: VersionDigest,
  ) => boolean;
  /** Whether each chunk of a wanted version is here or with a neighbour. */
  readonly isFullyReachable: (versionDigest: VersionDigest) => boolean;
  /** Share of each link's rate that transfers may take now, from 0 to 1. */
  readonly transferShare: () => number;
  readonly dump: () => SwarmDump;
}

/** A swarm node's state for an operator. */
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
