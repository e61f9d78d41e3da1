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

/** Identifies the target, its agent and the model of an activation. */
export interface ActivationSettings {
  readonly model: ModelName;
  readonly target: TargetName;
  readonly instance: InstanceName;
  readonly incarnation: Incarnation;
  /** Random token, unique to this start of the agent. */
  readonly token: string;
  /** Condition of each write; see `RaisedIncarnation.stillCurrent`. */
  readonly stillCurrent: TableCondition;
}

/** Input of a request to stop serving for a swap. */
export interface SwapRequest {
  /**
   * Generation of the active configuration that the other fields are taken
   * from.
   */
  readonly generation: Generation;
  readonly capacityFloor: number;
  /** Targets that the configuration assigns to the model. */
  readonly configured: readonly TargetName[];
  /** Targets known to be dead or leaving. */
  readonly gone: ReadonlySet<TargetName>;
}

/** Evidence that is required before a target counts as serving. */
export interface ServingEvidence {
  readonly generation: Generation;
  /** Whether the engine itself reports a version of the model as loaded. */
  readonly loaded: boolean;
  /** Whether the engine accepts no more orders of an earlier agent. */
  readonly fenced: boolean;
}

/** Why a permit, a report or a withdrawal was not completed. */
export type ActivationError =
  /** Another swap now would leave too few targets serving; try again later. */
  | {
      readonly kind: 'floorReached';
      readonly serving: number;
      readonly capacityFloor: number;
    }
  /** Others use a later configuration; adopt it first. */
  | {readonly kind: 'configurationBehind'; readonly generation: Generation}
  /** The evidence does not show that the target serves. */
  | {readonly kind: 'notServing'}
  /** A later incarnation of this agent has started; give up permanently. */
  | {readonly kind: 'replaced'}
  /** A later flow of the same activation has begun; its result counts. */
  | {readonly kind: 'superseded'}
  /** The write had no effect, or its effect is unknown; no swap starts. */
  | {readonly kind: 'platformUnavailable'; readonly detail: string}
  | {readonly kind: 'malformedRow'; readonly detail: string}
  /** Other writers changed the row at each attempt; try again. */
  | {readonly kind: 'contended'};

/** A flow that reads and writes a model's activation row. */
export type ActivationFlow = Flow<
  ReadRowEffect | CommitEffect,
  ReadReply | CommitReply,
  Result<void, ActivationError>
>;

/** Coordinates the swaps of one model on behalf of one target. */
export interface Activation {
  /** Requests a permit to stop serving; on Ok the target may unload. */
  readonly takePermit: (request: SwapRequest) => ActivationFlow;
  /** Marks the target as serving again, which ends its permit. */
  readonly reportServing: (evidence: ServingEvidence) => ActivationFlow;
  /** Removes a target that no longer serves from the count. */
  readonly withdraw: (generation: Generation) => ActivationFlow;
  /** Whether the target currently may be without a loaded version. */
  readonly holdsPermit: () => boolean;
}
