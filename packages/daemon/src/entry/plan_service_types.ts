import type {
  AcceptedConfiguration,
  AwaitedProcess,
  IntentFault,
  KnownTarget,
  MoveRow,
  PlanCommitFault,
  PlanFacts,
  PlanFault,
  PlanId,
  PlanRow,
  PlatformError,
  ProcessGeneration,
} from '@hibiscusbeam/core';
import type {Platform} from '@hibiscusbeam/platform';
import type {Result} from 'ts-results';
import type {ProcessSurvey} from './process_survey';
import type {Clock} from '../runtime/clock';

/** Why an operator's request was not carried out. */
export type PlanRefusal =
  | {readonly kind: 'notYaml'; readonly detail: string}
  | {
      readonly kind: 'badIntent';
      readonly faults: readonly IntentFault[];
    }
  | {
      readonly kind: 'planRefused';
      readonly faults: readonly PlanFault[];
    }
  | {readonly kind: 'starting'}
  | {readonly kind: 'notCommitted'; readonly fault: PlanCommitFault}
  | {readonly kind: 'platform'; readonly error: PlatformError};

/** A plan as shown to operators, with the processes that lag behind it. */
export interface PlanView extends PlanRow {
  readonly inForce?: boolean;
  readonly lagging?: readonly ProcessGeneration[];
  /** Present if the plan moves targets or workspaces. */
  readonly move?: MoveView;
}

/** The progress of a confirmed move. */
export interface MoveView {
  readonly state: MoveRow['state'];
  /** Generation in which both sides are closed. */
  readonly closedAt: number;
  /** Processes that the move waits for, and why; empty once it is finished. */
  readonly awaited: readonly AwaitedProcess[];
}

/** Handles the requests of operators for intents and plans. */
export interface PlanService {
  readonly plan: (
    text: string,
    operator: string,
  ) => Promise<Result<PlanRow, PlanRefusal>>;
  readonly confirm: (planId: PlanId) => Promise<
    Result<
      {
        readonly planId: PlanId;
        readonly generation: number;
        readonly wasConfirmed: boolean;
      },
      PlanRefusal
    >
  >;
  readonly show: (planId: PlanId) => Promise<Result<PlanView, PlanRefusal>>;
  readonly list: () => Promise<Result<readonly PlanRow[], PlanRefusal>>;
  readonly abandon: (planId: PlanId) => Promise<Result<PlanId, PlanRefusal>>;
}

/** Options of {@link createPlanService}. */
export interface PlanServiceOptions {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly current: () => AcceptedConfiguration | undefined;
  readonly knownTargets: () => Promise<
    Result<readonly KnownTarget[], PlatformError>
  >;
  readonly rates: Pick<PlanFacts, 'originRate' | 'instanceRate'>;
  readonly requestGenerations: () => Promise<readonly ProcessGeneration[]>;
  readonly survey: ProcessSurvey;
  readonly onCommitted: (accepted: AcceptedConfiguration) => void;
  readonly onMoveConfirmed: (moveId: PlanId) => void;
}
