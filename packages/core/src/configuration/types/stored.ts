import type {Generation, Milliseconds, PlanId} from '../../types';
import type {Plan, PlannedMove, PlanSubject} from './plan';

/** The row that names the generation in force. */
export interface HeadRow {
  readonly generation: Generation;
  readonly digest: string;
  readonly planId: PlanId;
  /** Unfinished moves between the two systems. */
  readonly moves: readonly PlanId[];
}

/** State of a plan. Only a planned one can still change. */
export type PlanState =
  | {readonly kind: 'planned'}
  | {readonly kind: 'abandoned'}
  | {readonly kind: 'confirmed'; readonly generation: Generation};

/** A stored plan with its state. */
export interface PlanRow {
  readonly plan: Plan;
  readonly state: PlanState;
}

/** A stored move between the two systems. */
export interface MoveRow {
  readonly planId: PlanId;
  readonly move: PlannedMove;
  /** Generation in which the items are closed on both sides. */
  readonly closedAt: Generation;
  readonly state:
    | {readonly kind: 'closed'}
    /** Opened on the new side. */
    | {readonly kind: 'opened'; readonly generation: Generation}
    /** Reopened on the original side. */
    | {readonly kind: 'cancelled'; readonly generation: Generation};
}

/** A change accepted after a plan's base generation. */
export interface InterveningChange {
  readonly generation: Generation;
  readonly planId: PlanId;
  readonly summary: string;
  readonly operator: string;
  /** Subjects that both plans change; empty if they are unrelated. */
  readonly shared: readonly PlanSubject[];
}

/** Why a plan was not confirmed, stored or abandoned. */
export type PlanCommitFault =
  | {readonly kind: 'unknownPlan'; readonly planId: PlanId}
  | {readonly kind: 'planIdTaken'; readonly planId: PlanId}
  | {readonly kind: 'planAbandoned'; readonly planId: PlanId}
  | {
      readonly kind: 'planAlreadyConfirmed';
      readonly planId: PlanId;
      readonly generation: Generation;
    }
  | {
      /**
       * Another change was accepted first. Nothing of this plan was applied.
       */
      readonly kind: 'overtaken';
      readonly planId: PlanId;
      readonly base: Generation;
      readonly head: Generation;
      /** The most recent of the changes accepted first, in ascending order. */
      readonly others: readonly InterveningChange[];
      readonly relation: 'sameThings' | 'unrelated' | 'unknown';
      /** One-line instruction for the operator. */
      readonly advice: string;
    }
  | {
      /** A subject of the plan is moving between the two systems. */
      readonly kind: 'moving';
      readonly planId: PlanId;
      readonly moveId: PlanId;
      readonly shared: readonly PlanSubject[];
    }
  | {
      /** The platform did not answer, and no write was attempted. */
      readonly kind: 'platformUnavailable';
      readonly detail: string;
      readonly retryAfter: Milliseconds;
    }
  | {
      /** The reply was lost, and the outcome could not be read back. */
      readonly kind: 'outcomeUnknown';
      readonly planId: PlanId;
      readonly advice: string;
    }
  | {readonly kind: 'malformedRow'; readonly key: string};
