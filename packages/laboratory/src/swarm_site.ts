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
  /** Time at which it joins; the version is named at 0. */
  readonly joinsAt: MonotonicInstant;
  /** Time at which it learns of the version; defaults to `joinsAt`. */
  readonly versionKnownAt?: MonotonicInstant;
  /** Time of its planned leave; undefined if it stays. */
  readonly leavesAt?: MonotonicInstant;
  /** Time at which it freezes for good; undefined if it never does. */
  readonly frozenFrom?: MonotonicInstant;
  /** Whether it holds the version from the start. */
  readonly holds: boolean;
  /** Rate of its machine's link in each direction. */
  readonly linkRate: BytesPerSecond;
  /** Share of the link that transfers may take, from 0 to 1. */
  readonly linkShare: number;
}

/** A site whose agents distribute one version of weights. */
export interface SwarmSite {
  readonly agents: readonly SiteAgent[];
  readonly originRate: BytesPerSecond;
  /** Time from which the origin is available. */
  readonly originStartsAt: MonotonicInstant;
  readonly chunks: number;
  readonly chunkSize: Bytes;
  /** One-way latency between two machines. */
  readonly latency: (from: ZoneName, to: ZoneName) => Milliseconds;
  /** Time that an engine needs to stage a chunk. */
  readonly storeTime: Milliseconds;
  readonly seed: number;
  readonly policy: TransferPolicy;
}

/** Result of one agent. */
export interface AgentResult {
  readonly instance: InstanceName;
  /** Time at which it held the whole version; undefined if it never did. */
  readonly readyAt: MonotonicInstant | undefined;
  readonly originBytes: Bytes;
  readonly crossZoneBytes: Bytes;
}
