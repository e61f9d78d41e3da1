import type {
  EvacuationChange,
  ListedTarget,
  Milliseconds,
  ModelName,
  Suspect,
  RoutingConfiguration,
} from '@hibiscusbeam/core';
import type {Result} from 'ts-results';
import type {HostError} from './errors';

/**
 * A point in the store's history. It grows with every transaction and with each
 * restore from a copy, although the store then reuses its versions.
 */
export type Revision = number;

/** A row that can't be used, such as one of another writer. */
export interface UnusableRow {
  readonly key: string;
  readonly revision: Revision;
  /** What is wrong with the row, with the name of the field. */
  readonly reason: string;
}

/**
 * Position of an answer in the store's history, and the rows that can't be
 * used.
 */
export interface StoreReading {
  readonly revision: Revision;
  /**
   * Number of restores from a copy, each of which loses the last transactions.
   */
  readonly era: number;
  /** The store's monotonic clock. */
  readonly storeTime: Milliseconds;
  readonly unusable: readonly UnusableRow[];
}

/** A version that the operator has named. */
export interface NamedVersion {
  readonly model: ModelName;
  readonly version: number;
  /**
   * The store's monotonic clock when the name was first read, as recorded by an
   * entry; undefined if none has recorded it.
   */
  readonly namedAt: Milliseconds | undefined;
}

/**
 * A configuration as the operator wrote it. Only the adapter interprets its
 * text.
 */
export interface ConfigurationDocument {
  /** Revision of its row. */
  readonly revision: Revision;
  readonly text: Buffer;
}

/** Rows written by the operator: all of them, or the new ones. */
export interface OperatorReading extends StoreReading {
  /** Undefined if none was written, or if it can't be used. */
  readonly configuration: RoutingConfiguration | undefined;
  /** The text of that configuration. */
  readonly document: ConfigurationDocument | undefined;
  /** Whether a configuration was written that can't be used. */
  readonly isConfigurationLost: boolean;
  readonly namedVersions: readonly NamedVersion[];
  /** Evacuation rows, in the order in which they were written. */
  readonly evacuations: readonly EvacuationChange[];
  /** Revision of the newest row read, usable or not; 0 if there are none. */
  readonly newestChange: Revision;
}

/** The rows that the operator writes to the host platform's store. */
export interface OperatorFeed {
  readonly readAll: (
    timeout: Milliseconds,
  ) => Promise<Result<OperatorReading, HostError>>;
  /** Waits up to `wait` for rows written after the revision. */
  readonly follow: (
    after: Revision,
    wait: Milliseconds,
    timeout: Milliseconds,
  ) => Promise<Result<OperatorReading, HostError>>;
  /** Records when a version's name was first read, unless already recorded. */
  readonly recordNaming: (
    named: NamedVersion,
    timeout: Milliseconds,
  ) => Promise<Result<boolean, HostError>>;
  /**
   * Decodes a configuration that another entry has read; on failure, returns
   * the reason.
   */
  readonly decode: (
    document: ConfigurationDocument,
  ) => Result<RoutingConfiguration, string>;
}

/** All targets, as of one point in time. */
export interface TargetReading extends StoreReading {
  readonly targets: readonly ListedTarget[];
}

/** The list of targets of the host platform. */
export interface TargetList {
  readonly read: (
    timeout: Milliseconds,
  ) => Promise<Result<TargetReading, HostError>>;
}

/** A process of the site, as it describes itself to the others. */
export interface MemberDescription {
  readonly instance: string;
  readonly role: 'entry' | 'agent';
  readonly zone: string;
  /** Address of the gRPC server, `IP:port`. */
  readonly address: string;
  /** Address for callers, `IP:port`; entries only. */
  readonly callerAddress?: string;
  /** Identifies the incarnation of the process; differs after each restart. */
  readonly life: string;
}

/** A member's row that was written or removed. */
export interface MemberChange {
  readonly instance: string;
  /** Undefined if the row was removed. */
  readonly member: MemberDescription | undefined;
}

/** Rows of members: all of them, or the changed ones. */
export interface MemberReading extends StoreReading {
  readonly changes: readonly MemberChange[];
}

/** Rows in the host platform's store in which members describe themselves. */
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

/** Row of a quarantined suspect that was written or removed. */
export interface QuarantineChange {
  readonly suspect: Suspect;
  readonly isStored: boolean;
}

/** Rows of quarantined suspects: all of them, or the changed ones. */
export interface QuarantineReading extends StoreReading {
  readonly changes: readonly QuarantineChange[];
}

/** Quarantined suspects in the host platform's store. */
export interface QuarantineTable {
  readonly put: (
    suspect: Suspect,
    timeout: Milliseconds,
  ) => Promise<Result<void, HostError>>;
  readonly remove: (
    suspect: Suspect,
    timeout: Milliseconds,
  ) => Promise<Result<void, HostError>>;
  /**
   * Records that `holder` runs a request with the suspect as its trial; false
   * if another holder has.
   */
  readonly claimTrial: (
    suspect: Suspect,
    holder: string,
    timeout: Milliseconds,
  ) => Promise<Result<boolean, HostError>>;
  readonly removeTrial: (
    suspect: Suspect,
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
