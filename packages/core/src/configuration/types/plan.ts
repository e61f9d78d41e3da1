import type {
  Bytes,
  BytesPerSecond,
  FencingSupport,
  Generation,
  InstanceName,
  ModelName,
  Owner,
  PlanId,
  ServiceName,
  SiteConfiguration,
  TargetName,
  VersionDigest,
  WorkspaceName,
  ZoneName,
} from '../../types';

/** A target known to the site from its agent and the instance list. */
export interface KnownTarget {
  readonly target: TargetName;
  readonly instance: InstanceName;
  readonly zone: ZoneName;
  readonly kind: 'modelEngine' | 'plainService';
  readonly service?: ServiceName | undefined;
  readonly fencing: FencingSupport;
  readonly live: boolean;
}

/** The origin's answer about one version of a model. */
export type VersionFact =
  | {
      readonly kind: 'resolved';
      readonly model: ModelName;
      /** As written in the intent: a label or a digest. */
      readonly version: string;
      readonly versionDigest: VersionDigest;
      readonly label: string;
      readonly size: Bytes;
    }
  | {
      readonly kind: 'missing' | 'badManifest';
      readonly model: ModelName;
      readonly version: string;
      readonly detail: string;
    };

/** Inputs of planning besides the intent and the configuration. */
export interface PlanFacts {
  readonly versions: readonly VersionFact[];
  readonly targets: readonly KnownTarget[];
  /** Share of the origin's link that transfers may use. */
  readonly originRate: BytesPerSecond;
  /** Rate of one instance's link, in each direction. */
  readonly instanceRate: BytesPerSecond;
  /** Unfinished moves between the two systems. */
  readonly moves: readonly PlannedMove[];
}

/** One difference that a plan makes. */
export interface PlanChange {
  readonly subject: PlanSubject;
  readonly before: string;
  readonly after: string;
}

/** What a change affects. Two plans conflict if they share a subject. */
export type PlanSubject =
  | {readonly kind: 'target'; readonly name: TargetName}
  | {readonly kind: 'model'; readonly name: ModelName}
  | {readonly kind: 'service'; readonly name: ServiceName}
  | {readonly kind: 'workspace'; readonly name: WorkspaceName}
  | {readonly kind: 'site'; readonly name: 'older-system'};

/** Number of targets that serve a model while the plan is carried out. */
export interface PlanCapacity {
  readonly model: ModelName;
  readonly before: number;
  /** Minimum number of serving targets at any time while versions swap. */
  readonly lowest: number;
  readonly after: number;
}

/** Current and future owner of a target or a workspace. */
export interface PlanOwner {
  readonly subject: PlanSubject;
  readonly before: Owner | 'nobody';
  readonly after: Owner;
}

/**
 * A problem that an operator should know of before confirming. It does not
 * prevent the plan.
 */
export interface PlanWarning {
  readonly kind: 'targetNotLive' | 'noRoomToSwap' | 'servesSeveralModels';
  readonly subject: PlanSubject;
  readonly detail: string;
}

/** One item of a move, with its state on the new side. */
export interface MoveItem {
  readonly kind: 'target' | 'workspace';
  readonly name: string;
  /** The new owner. */
  readonly owner: Owner;
  /**
   * Whether the workspace is open, or the target joined, after the move, as it
   * was before.
   */
  readonly openAfter: boolean;
}

/** The move that starts once the plan is confirmed. */
export interface PlannedMove {
  readonly items: readonly MoveItem[];
}

/** The effects of an intent. Nothing changes until the plan is confirmed. */
export interface Plan {
  readonly planId: PlanId;
  readonly summary: string;
  readonly operator: string;
  /**
   * Wall-clock time of planning, in milliseconds since 1970; for display only.
   */
  readonly plannedAt: number;
  readonly base: Generation;
  /** Digest of the resulting configuration. */
  readonly digest: string;
  readonly configuration: SiteConfiguration;
  readonly changes: readonly PlanChange[];
  readonly originBytes: Bytes;
  readonly expectedSeconds: number;
  readonly capacity: readonly PlanCapacity[];
  readonly owners: readonly PlanOwner[];
  readonly warnings: readonly PlanWarning[];
  readonly move: PlannedMove | undefined;
}

/** Why an intent can't be planned. */
export type PlanFaultReason =
  | 'unknownTarget'
  | 'unknownInstance'
  | 'unknownWorkspace'
  | 'notJoined'
  | 'wrongKind'
  | 'ownedByOlderSystem'
  | 'changesOwner'
  | 'versionMissing'
  | 'badManifest'
  | 'tooFewTargets'
  | 'floorAboveTargets'
  | 'floorBroken'
  | 'stillServes'
  | 'stillOwnedByOlderSystem'
  | 'switchedOff'
  | 'moving'
  | 'statedTwice'
  | 'nothingToChange';

/** One reason why a plan is refused. */
export interface PlanFault {
  readonly kind: PlanFaultReason;
  /**
   * The change at fault, for example `changes[2]`; empty for the whole intent.
   */
  readonly path: string;
  readonly detail: string;
}
