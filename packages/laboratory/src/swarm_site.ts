import type {
  Bytes,
  BytesPerSecond,
  InstanceName,
  Milliseconds,
  MonotonicInstant,
  TransferPolicy,
  ZoneName,
} from '@hibiscusbeam/core';

/** An agent on a machine with a link of its own. */
export interface SiteAgent {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
  /** When it takes part; the version is named at 0. */
  readonly joinsAt: MonotonicInstant;
  /** When it learns of the version, if that is later than it takes part. */
  readonly versionKnownAt?: MonotonicInstant;
  /** When it leaves by plan; undefined if it stays. */
  readonly leavesAt?: MonotonicInstant;
  /** When it freezes, for good; undefined if it never does. */
  readonly frozenFrom?: MonotonicInstant;
  /** Whether it holds the version from the start. */
  readonly holds: boolean;
  /** Rate of its machine's link, each way. */
  readonly linkRate: BytesPerSecond;
  /** Share of the link that transfers may take, from 0 to 1. */
  readonly linkShare: number;
}

/** A site whose agents move one version of weights. */
export interface SwarmSite {
  readonly agents: readonly SiteAgent[];
  readonly originRate: BytesPerSecond;
  /** When the origin answers. */
  readonly originStartsAt: MonotonicInstant;
  readonly chunks: number;
  readonly chunkSize: Bytes;
  /** One way, between two machines. */
  readonly latency: (from: ZoneName, to: ZoneName) => Milliseconds;
  /** Time that an engine needs to stage a chunk. */
  readonly storeTime: Milliseconds;
  readonly seed: number;
  readonly policy: TransferPolicy;
}

/** What became of the version on one agent. */
export interface AgentResult {
  readonly instance: InstanceName;
  /** When it held all; undefined if it never did. */
  readonly readyAt: MonotonicInstant | undefined;
  readonly originBytes: Bytes;
  readonly crossZoneBytes: Bytes;
}
