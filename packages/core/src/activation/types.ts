import type {Result} from 'ts-results';
import type {Flow} from '../kernel/flow';
import type {
  CommitEffect,
  CommitReply,
  Generation,
  Incarnation,
  InstanceName,
  ModelName,
  ReadReply,
  ReadRowEffect,
  TableCondition,
  TargetName,
} from '../types';

/** Whose permit for which model. */
export interface ActivationSettings {
  readonly model: ModelName;
  readonly target: TargetName;
  readonly instance: InstanceName;
  readonly incarnation: Incarnation;
  /** Random and unique to this start of the agent. */
  readonly token: string;
  /** Must hold at each write; see `RaisedIncarnation.stillCurrent`. */
  readonly stillCurrent: TableCondition;
}

/** What the agent knows when it asks to stop serving for a swap. */
export interface SwapRequest {
  /** The configuration in force from which the rest is taken. */
  readonly generation: Generation;
  readonly capacityFloor: number;
  /** Targets that the configuration gives the model. */
  readonly configured: readonly TargetName[];
  /** Targets known to be dead or leaving. */
  readonly gone: ReadonlySet<TargetName>;
}

/** What must be true before a target counts as serving. */
export interface ServingEvidence {
  readonly generation: Generation;
  /** The engine itself reports a version of the model as loaded. */
  readonly loaded: boolean;
  /** No order of an earlier agent can reach the engine any more. */
  readonly fenced: boolean;
}

/** Why a permit was not given or not returned. */
export type ActivationError =
  /** Another swap now would leave too few targets; try again later. */
  | {
      readonly kind: 'floorReached';
      readonly serving: number;
      readonly capacityFloor: number;
    }
  /** Others act by a later configuration; adopt it first. */
  | {readonly kind: 'configurationBehind'; readonly generation: Generation}
  /** The evidence does not show that the target serves. */
  | {readonly kind: 'notServing'}
  /** A later start of this agent has begun: give up for good. */
  | {readonly kind: 'replaced'}
  /** A later flow of the same activation has begun; its result counts. */
  | {readonly kind: 'superseded'}
  /** No effect, or none that is known; no swap starts. */
  | {readonly kind: 'platformUnavailable'; readonly detail: string}
  | {readonly kind: 'malformedRow'; readonly detail: string}
  /** Others wrote the row at each try; try again. */
  | {readonly kind: 'contended'};

/** A flow over a model's activation row. */
export type ActivationFlow = Flow<
  ReadRowEffect | CommitEffect,
  ReadReply | CommitReply,
  Result<void, ActivationError>
>;

/** One target's part in the swaps of one model. */
export interface Activation {
  /** Asks to stop serving; on Ok the target may unload. */
  readonly takePermit: (request: SwapRequest) => ActivationFlow;
  /** Counts the target as serving again, which ends its permit. */
  readonly reportServing: (evidence: ServingEvidence) => ActivationFlow;
  /** Takes the target out of the count, for one that no longer serves. */
  readonly withdraw: (generation: Generation) => ActivationFlow;
  /** Whether the target may be without a version at this moment. */
  readonly holdsPermit: () => boolean;
}
