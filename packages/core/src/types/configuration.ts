import type {
  Generation,
  ModelName,
  PlanId,
  ServiceName,
  TargetName,
  VersionDigest,
  WorkspaceName,
  ZoneName,
} from './names';

/** Which system sends orders and requests: the older one or this one. */
export type Owner = 'older-system' | 'hibiscusbeam';

/** Whether a target refuses an order with an old fencing number. */
export type FencingSupport = 'checked' | 'ignored';

/** A target as described by the configuration in force. */
export interface TargetConfiguration {
  readonly kind: 'modelEngine' | 'plainService';
  /** The plain service's name; absent for a model engine. */
  readonly service?: ServiceName;
  readonly zone: ZoneName;
  readonly owner: Owner;
  readonly fencing: FencingSupport;
  readonly state: 'joined' | 'leaving';
}

/** What a rollout optimizes first. */
export type RolloutPreference = 'time' | 'origin-bytes';

/** One model served at one version on a set of targets. */
export interface ModelConfiguration {
  readonly versionDigest: VersionDigest;
  readonly label: string;
  readonly targets: readonly TargetName[];
  /** Minimum number of targets that serve the model while versions swap. */
  readonly capacityFloor: number;
  readonly prefer: RolloutPreference;
}

/** A plain service's operations. */
export interface ServiceConfiguration {
  /** Operations that must run at most once; all others may be retried. */
  readonly notRepeatable: readonly string[];
}

/** A workspace's owner, priority and limits. */
export interface WorkspaceConfiguration {
  readonly owner: Owner;
  /** False while it moves between systems: requests then get `notRun`. */
  readonly open: boolean;
  /** Lower numbers go first. */
  readonly priority: number;
  readonly weight: number;
  readonly requestsPerSecond: number;
}

/** The configuration of the whole site at one generation. */
export interface SiteConfiguration {
  readonly targets: {readonly [target: TargetName]: TargetConfiguration};
  readonly models: {readonly [model: ModelName]: ModelConfiguration};
  readonly services: {readonly [service: ServiceName]: ServiceConfiguration};
  readonly workspaces: {
    readonly [workspace: WorkspaceName]: WorkspaceConfiguration;
  };
  /** True once the older system is switched off permanently. */
  readonly olderSystemSwitchedOff: boolean;
}

/** A configuration with its position in the sequence of accepted ones. */
export interface AcceptedConfiguration {
  readonly generation: Generation;
  /** SHA-256 over the canonical JSON of `planId` and `configuration`. */
  readonly digest: string;
  readonly planId: PlanId;
  readonly configuration: SiteConfiguration;
}
