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

/** A target that the site knows of, from its agent and the instance list. */
export interface KnownTarget {
  readonly target: TargetName;
  readonly instance: InstanceName;
  readonly zone: ZoneName;
  readonly kind: 'modelEngine' | 'plainService';
  readonly service?: ServiceName | undefined;
  readonly fencing: FencingSupport;
  readonly live: boolean;
}

/** What the origin says of one model and version. */
export type VersionFact =
  | {
      readonly kind: 'resolved';
      readonly model: ModelName;
      /** As the intent names it: a label or a digest. */
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

/** All that a plan rests on besides the intent and the configuration. */
export interface PlanFacts {
  readonly versions: readonly VersionFact[];
  readonly targets: readonly KnownTarget[];
  /** Our share of the origin's link. */
  readonly originRate: BytesPerSecond;
  /** One instance's link, in each direction. */
  readonly instanceRate: BytesPerSecond;
  /** Moves between the systems that are not finished. */
  readonly moves: readonly PlannedMove[];
}

/** One line of a plan: something that becomes different. */
export interface PlanChange {
  readonly subject: PlanSubject;
  readonly before: string;
  readonly after: string;
}

/** What a change is about. Two plans touch if they share a subject. */
export type PlanSubject =
  | {readonly kind: 'target'; readonly name: TargetName}
  | {readonly kind: 'model'; readonly name: ModelName}
  | {readonly kind: 'service'; readonly name: ServiceName}
  | {readonly kind: 'workspace'; readonly name: WorkspaceName}
  | {readonly kind: 'site'; readonly name: 'older-system'};

/** A model's serving targets while the plan runs. */
export interface PlanCapacity {
  readonly model: ModelName;
  readonly before: number;
  /** Never fewer than so many serve at any time while versions swap. */
  readonly lowest: number;
  readonly after: number;
}

/** Who owns a target or a workspace, and who will. */
export interface PlanOwner {
  readonly subject: PlanSubject;
  readonly before: Owner | 'nobody';
  readonly after: Owner;
}

/** Something an operator should know before confirming; not a refusal. */
export interface PlanWarning {
  readonly kind: 'targetNotLive' | 'noRoomToSwap' | 'servesSeveralModels';
  readonly subject: PlanSubject;
  readonly detail: string;
}

/** One item of a move, with how it shall be on the new side. */
export interface MoveItem {
  readonly kind: 'target' | 'workspace';
  readonly name: string;
  /** The new owner. */
  readonly owner: Owner;
  /** A workspace that was open, or a target that was joined, is so again. */
  readonly openAfter: boolean;
}

/** The move that begins once the plan is confirmed. */
export interface PlannedMove {
  readonly items: readonly MoveItem[];
}

/** What an intent would do. Nothing moves until it is confirmed. */
export interface Plan {
  readonly planId: PlanId;
  readonly summary: string;
  readonly operator: string;
  /** Wall-clock time of planning, in milliseconds since 1970; for people. */
  readonly plannedAt: number;
  readonly base: Generation;
  /** Digest that the accepted configuration will carry. */
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

/** One reason for which a plan is refused. */
export interface PlanFault {
  readonly kind: PlanFaultReason;
  /** The change it is about, for example `changes[2]`; empty for the whole. */
  readonly path: string;
  readonly detail: string;
}
