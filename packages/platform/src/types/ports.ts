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

/** A call's result, or the platform's error. */
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
  /** Yields the chunk's bytes as they arrive, unverified. */
  readonly chunk: (
    digest: Digest,
    signal: AbortSignal,
  ) => AsyncIterable<Result<Uint8Array, PlatformError>>;
}

/** An instance in the platform's list, which lags. */
export interface ListedInstance {
  readonly instance: InstanceName;
  readonly role: 'entry' | 'agent';
  /** Address of the process's gRPC server, `IP:port`. */
  readonly address: string;
  /** Address of an entry's HTTP server, `IP:port`; absent for agents. */
  readonly callerAddress?: string;
  readonly zone: ZoneName;
  readonly region: RegionName;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of instances, which lags by seconds. */
export interface InstanceList {
  readonly list: () => PlatformReply<readonly ListedInstance[]>;
}

/** The platform services that this system's processes use. */
export interface Platform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly weights: WeightStore;
  readonly instances: InstanceList;
}
