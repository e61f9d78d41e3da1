import type {
  FencingSupport,
  InstanceName,
  ModelName,
  Owner,
  RolloutPreference,
  ServiceName,
  TargetName,
  WorkspaceName,
  ZoneName,
} from '../../types';

/** Targets chosen by the names of their instances. */
export interface InstanceChoice {
  readonly instances: readonly InstanceName[];
}

/**
 * Targets chosen by zone, by count, or both. Without a count, all targets of
 * the zone are chosen.
 */
export interface ZoneChoice {
  readonly zone?: ZoneName | undefined;
  readonly count?: number | undefined;
}

/** How an intent selects its targets. */
export type TargetChoice = InstanceChoice | ZoneChoice;

/** Serves one version of a model on the chosen targets. */
export interface ServeChange {
  readonly kind: 'serve';
  readonly model: ModelName;
  /** A label, or a version digest that begins with `sha256:`. */
  readonly version: string;
  readonly targets: TargetChoice;
  readonly capacityFloor: number;
  readonly prefer: RolloutPreference;
}

/** Adds targets to the site. */
export interface JoinChange {
  readonly kind: 'join';
  readonly targets: readonly TargetName[];
  /** Only for targets that are not in the configuration yet. */
  readonly owner?: Owner | undefined;
  /** Overrides the target's own settings. */
  readonly fencing?: FencingSupport | undefined;
}

/** Takes targets out of service: they get no new work. */
export interface LeaveChange {
  readonly kind: 'leave';
  readonly targets: readonly TargetName[];
}

/** Sets a workspace's priority and limits. Absent fields keep their value. */
export interface WorkspaceChange {
  readonly kind: 'workspace';
  readonly workspace: WorkspaceName;
  readonly priority?: number | undefined;
  readonly weight?: number | undefined;
  readonly requestsPerSecond?: number | undefined;
  readonly open?: boolean | undefined;
  /** Only for a workspace that is not in the configuration yet. */
  readonly owner?: Owner | undefined;
}

/** Sets which operations of a service must run at most once. */
export interface ServiceChange {
  readonly kind: 'service';
  readonly service: ServiceName;
  readonly notRepeatable: readonly string[];
}

/** Moves targets and workspaces to one of the two systems. */
export interface OwnerChange {
  readonly kind: 'own';
  readonly owner: Owner;
  readonly targets: readonly TargetName[];
  readonly workspaces: readonly WorkspaceName[];
}

/** Records that the older system is switched off permanently. */
export interface SwitchOffChange {
  readonly kind: 'switch-off';
}

/** One change that an operator requests. */
export type IntentChange =
  | ServeChange
  | JoinChange
  | LeaveChange
  | WorkspaceChange
  | ServiceChange
  | OwnerChange
  | SwitchOffChange;

/**
 * The changes that an operator requests. Nothing changes until the plan made
 * from them is confirmed.
 */
export interface Intent {
  readonly summary: string;
  readonly changes: readonly IntentChange[];
}

/** One validation error of an intent. */
export interface IntentFault {
  /**
   * Path of the field, for example `changes[0].capacityFloor`; empty for the
   * whole intent.
   */
  readonly path: string;
  readonly detail: string;
}
