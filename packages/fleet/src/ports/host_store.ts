import type {
  EvacuationChange,
  ListedTarget,
  Milliseconds,
  ModelName,
  RequestFingerprint,
  RoutingConfiguration,
} from '@hibiscusbeam/core';
import type {Result} from 'ts-results';
import type {HostError} from './errors';

/**
 * A point in the store's history; grows with every transaction, and with each
 * restore from a copy, though the store then gives its versions out again.
 */
export type Revision = number;

/** A row that names nothing to use, such as one of another writer. */
export interface UnusableRow {
  readonly key: string;
  readonly revision: Revision;
  /** What is wrong with it, with the field's name. */
  readonly reason: string;
}

/** When the store answered, and what of its answer can't be used. */
export interface StoreReading {
  readonly revision: Revision;
  /**
   * Counts how often the store has come back from a copy, which loses its last
   * transactions.
   */
  readonly era: number;
  /** The store's own steady clock. */
  readonly storeTime: Milliseconds;
  readonly unusable: readonly UnusableRow[];
}

/** A version that the operator has named. */
export interface NamedVersion {
  readonly model: ModelName;
  readonly version: number;
  /**
   * The store's own steady clock when the name was first read, as an entry has
   * recorded it; undefined if none has.
   */
  readonly namedAt: Milliseconds | undefined;
}

/** A configuration as the operator wrote it; only the adapter reads its text. */
export interface ConfigurationDocument {
  /** Revision of its row. */
  readonly revision: Revision;
  readonly text: Buffer;
}

/** What the operator has written: all of it, or what is new. */
export interface OperatorReading extends StoreReading {
  /** Undefined if it was not written, or can't be used. */
  readonly configuration: RoutingConfiguration | undefined;
  /** The text of that configuration. */
  readonly document: ConfigurationDocument | undefined;
  /** Whether a configuration was written that can't be used. */
  readonly isConfigurationLost: boolean;
  readonly namedVersions: readonly NamedVersion[];
  /** Rows on evacuations, in the order in which they were written. */
  readonly evacuations: readonly EvacuationChange[];
  /** Revision of the newest row that was read, usable or not; 0 without rows. */
  readonly newestChange: Revision;
}

/** The operator's writing in the host platform's store. */
export interface OperatorFeed {
  readonly readAll: (
    timeout: Milliseconds,
  ) => Promise<Result<OperatorReading, HostError>>;
  /** Waits up to `wait` for what is written after the revision. */
  readonly follow: (
    after: Revision,
    wait: Milliseconds,
    timeout: Milliseconds,
  ) => Promise<Result<OperatorReading, HostError>>;
  /** Records when a version's name was first read, unless that is recorded. */
  readonly recordNaming: (
    named: NamedVersion,
    timeout: Milliseconds,
  ) => Promise<Result<boolean, HostError>>;
  /** Decodes a configuration that another entry has read; else the reason. */
  readonly decode: (
    document: ConfigurationDocument,
  ) => Result<RoutingConfiguration, string>;
}

/** All targets, as of one moment. */
export interface TargetReading extends StoreReading {
  readonly targets: readonly ListedTarget[];
}

/** The targets that the host platform lists. */
export interface TargetList {
  readonly read: (
    timeout: Milliseconds,
  ) => Promise<Result<TargetReading, HostError>>;
}

/** One of our processes, as it describes itself to the others. */
export interface MemberDescription {
  readonly instance: string;
  readonly role: 'entry' | 'agent';
  readonly zone: string;
  /** Address of the gRPC face, `IP:port`. */
  readonly address: string;
  /** Address for callers, `IP:port`; entries only. */
  readonly callerAddress?: string;
  /** Differs for each life of the process. */
  readonly life: string;
}

/** A member's row that was written, or removed. */
export interface MemberChange {
  readonly instance: string;
  /** Undefined once it was removed. */
  readonly member: MemberDescription | undefined;
}

/** Rows of members: all of them, or those that have changed. */
export interface MemberReading extends StoreReading {
  readonly changes: readonly MemberChange[];
}

/** The members' own rows in the host platform's store. */
export interface MemberTable {
  readonly put: (
    member: MemberDescription,
    timeout: Milliseconds,
  ) => Promise<Result<void, HostError>>;
  readonly remove: (
    instance: string,
    timeout: Milliseconds,
  ) => Promise<Result<void, HostError>>;
  readonly readAll: (
    timeout: Milliseconds,
  ) => Promise<Result<MemberReading, HostError>>;
  /** Waits up to `wait` for rows that change after the revision. */
  readonly follow: (
    after: Revision,
    wait: Milliseconds,
    timeout: Milliseconds,
  ) => Promise<Result<MemberReading, HostError>>;
}

/** A quarantined request's row that was written, or removed. */
export interface QuarantineChange {
  readonly fingerprint: RequestFingerprint;
  readonly isStored: boolean;
}

/** Rows of quarantined requests: all of them, or those that have changed. */
export interface QuarantineReading extends StoreReading {
  readonly changes: readonly QuarantineChange[];
}

/** Quarantined requests in the host platform's store. */
export interface QuarantineTable {
  readonly put: (
    fingerprint: RequestFingerprint,
    timeout: Milliseconds,
  ) => Promise<Result<void, HostError>>;
  readonly remove: (
    fingerprint: RequestFingerprint,
    timeout: Milliseconds,
  ) => Promise<Result<void, HostError>>;
  /** Writes that `holder` tries the request; false if another one has. */
  readonly claimTrial: (
    fingerprint: RequestFingerprint,
    holder: string,
    timeout: Milliseconds,
  ) => Promise<Result<boolean, HostError>>;
  readonly removeTrial: (
    fingerprint: RequestFingerprint,
    timeout: Milliseconds,
  ) => Promise<Result<void, HostError>>;
  readonly readAll: (
    timeout: Milliseconds,
  ) => Promise<Result<QuarantineReading, HostError>>;
  /** Waits up to `wait` for rows that change after the revision. */
  readonly follow: (
    after: Revision,
    wait: Milliseconds,
    timeout: Milliseconds,
  ) => Promise<Result<QuarantineReading, HostError>>;
}
