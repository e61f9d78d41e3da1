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

/** Targets chosen by zone, by count, or both; without count, all of the zone. */
export interface ZoneChoice {
  readonly zone?: ZoneName | undefined;
  readonly count?: number | undefined;
}

/** How an intent names the targets it is about. */
export type TargetChoice = InstanceChoice | ZoneChoice;

/** One model at one version on the chosen targets. */
export interface ServeChange {
  readonly kind: 'serve';
  readonly model: ModelName;
  /** A label, or a version digest that begins with `sha256:`. */
  readonly version: string;
  readonly targets: TargetChoice;
  readonly capacityFloor: number;
  readonly prefer: RolloutPreference;
}

/** Targets that begin to take part. */
export interface JoinChange {
  readonly kind: 'join';
  readonly targets: readonly TargetName[];
  /** Only for targets that the configuration does not hold yet. */
  readonly owner?: Owner | undefined;
  /** Replaces what the target's own settings say. */
  readonly fencing?: FencingSupport | undefined;
}

/** Targets that get no new work. */
export interface LeaveChange {
  readonly kind: 'leave';
  readonly targets: readonly TargetName[];
}

/** A workspace's precedence and limits; what is absent stays as it is. */
export interface WorkspaceChange {
  readonly kind: 'workspace';
  readonly workspace: WorkspaceName;
  readonly priority?: number | undefined;
  readonly weight?: number | undefined;
  readonly requestsPerSecond?: number | undefined;
  readonly open?: boolean | undefined;
  /** Only for a workspace that the configuration does not hold yet. */
  readonly owner?: Owner | undefined;
}

/** Which operations of a service must run at most once. */
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

/** The older system is off for good. */
export interface SwitchOffChange {
  readonly kind: 'switch-off';
}

/** One thing that an operator wants. */
export type IntentChange =
  | ServeChange
  | JoinChange
  | LeaveChange
  | WorkspaceChange
  | ServiceChange
  | OwnerChange
  | SwitchOffChange;

/** What an operator states; nothing changes until its plan is confirmed. */
export interface Intent {
  readonly summary: string;
  readonly changes: readonly IntentChange[];
}

/** One fault of an intent's text. */
export interface IntentFault {
  /** Where it is, for example `changes[0].capacityFloor`; empty for the whole. */
  readonly path: string;
  readonly detail: string;
}
