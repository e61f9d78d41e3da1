import type {
  CommitOutcome,
  Digest,
  InstanceName,
  Manifest,
  ModelName,
  PlatformError,
  RegionName,
  TableKey,
  TableRow,
  TableTransaction,
  VersionDigest,
  ZoneName,
} from '@hibiscusbeam/core';
import type {Result} from 'ts-results';

/** A call's answer, or why the platform gave none. */
export type PlatformReply<Value> = Promise<Result<Value, PlatformError>>;

/** The platform's transactional table service. */
export interface TableService {
  readonly read: (key: TableKey) => PlatformReply<TableRow | undefined>;
  /** Rows whose key starts with `prefix`, in key order, at most `limit`. */
  readonly scan: (
    prefix: TableKey,
    limit: number,
  ) => PlatformReply<readonly TableRow[]>;
  readonly commit: (
    transaction: TableTransaction,
  ) => PlatformReply<CommitOutcome>;
}

/** The platform's object store. */
export interface ObjectStore {
  readonly get: (key: string) => PlatformReply<Uint8Array>;
  readonly put: (key: string, content: Uint8Array) => PlatformReply<void>;
}

/** The origin of weights. */
export interface WeightStore {
  /** Digest of the version that `label` names for `model`. */
  readonly resolve: (
    model: ModelName,
    label: string,
  ) => PlatformReply<VersionDigest>;
  readonly manifest: (versionDigest: VersionDigest) => PlatformReply<Manifest>;
  /** Yields the chunk's bytes as they come; not verified. */
  readonly chunk: (
    digest: Digest,
    signal: AbortSignal,
  ) => AsyncIterable<Result<Uint8Array, PlatformError>>;
}

/** One line of the platform's lagging list of instances. */
export interface ListedInstance {
  readonly instance: InstanceName;
  readonly role: 'entry' | 'agent';
  /** Address of the process's gRPC face, `IP:port`. */
  readonly address: string;
  /** Address of an entry's HTTP face, `IP:port`; absent for agents. */
  readonly callerAddress?: string;
  readonly zone: ZoneName;
  readonly region: RegionName;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of instances; late by seconds. */
export interface InstanceList {
  readonly list: () => PlatformReply<readonly ListedInstance[]>;
}

/** All of the platform that our processes use. */
export interface Platform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly weights: WeightStore;
  readonly instances: InstanceList;
}
