import type {Generation, Milliseconds, PlanId} from '../../types';
import type {Plan, PlannedMove, PlanSubject} from './plan';

/** The row that says which generation is in force. */
export interface HeadRow {
  readonly generation: Generation;
  readonly digest: string;
  readonly planId: PlanId;
  /** Moves between the systems that are not finished. */
  readonly moves: readonly PlanId[];
}

/** What became of a plan. Only a planned one may still change. */
export type PlanState =
  | {readonly kind: 'planned'}
  | {readonly kind: 'abandoned'}
  | {readonly kind: 'confirmed'; readonly generation: Generation};

/** A plan as stored, with what became of it. */
export interface PlanRow {
  readonly plan: Plan;
  readonly state: PlanState;
}

/** A move between the systems as stored. */
export interface MoveRow {
  readonly planId: PlanId;
  readonly move: PlannedMove;
  /** Generation in which both sides are closed. */
  readonly closedAt: Generation;
  readonly state:
    | {readonly kind: 'closed'}
    /** Opened on the new side. */
    | {readonly kind: 'opened'; readonly generation: Generation}
    /** Opened again on the side that it was on. */
    | {readonly kind: 'cancelled'; readonly generation: Generation};
}

/** A change that was accepted after a plan's base. */
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
      /** Another change came first. Nothing of this plan was applied. */
      readonly kind: 'overtaken';
      readonly planId: PlanId;
      readonly base: Generation;
      readonly head: Generation;
      /** The newest of the changes that came first, oldest first. */
      readonly others: readonly InterveningChange[];
      readonly relation: 'sameThings' | 'unrelated' | 'unknown';
      /** What the operator should do, in one line. */
      readonly advice: string;
    }
  | {
      /** Something that the plan changes is moving between the systems. */
      readonly kind: 'moving';
      readonly planId: PlanId;
      readonly moveId: PlanId;
      readonly shared: readonly PlanSubject[];
    }
  | {
      /** The platform did not answer before anything was tried. */
      readonly kind: 'platformUnavailable';
      readonly detail: string;
      readonly retryAfter: Milliseconds;
    }
  | {
      /** The reply was lost and could not be read back. */
      readonly kind: 'outcomeUnknown';
      readonly planId: PlanId;
      readonly advice: string;
    }
  | {readonly kind: 'malformedRow'; readonly key: string};
