import type {Flow} from '../kernel/flow';
import type {
  Generation,
  InstanceName,
  Milliseconds,
  Owner,
  PlanId,
  TargetName,
  WorkspaceName,
} from '../types';
import type {TableFlowEffect, TableFlowReply} from '../configuration';

/** Why a process can't serve or order any more. */
export type StopEvidence =
  /** It said goodbye, after it had finished what was in progress. */
  | {readonly kind: 'goodbye'}
  /** Its lease ended so long ago; it stops itself before the lease ends. */
  | {readonly kind: 'leaseEnded'; readonly since: Milliseconds}
  /** The platform's list has said for so long that the instance is gone. */
  | {readonly kind: 'delisted'; readonly since: Milliseconds}
  /** An operator has seen to it that the instance does not run. */
  | {readonly kind: 'declared'; readonly operator: string};

/** What is known of one process while a move waits. */
export type ProcessReport =
  | {
      readonly kind: 'reports';
      readonly process: InstanceName;
      readonly side: Owner;
      readonly generation: Generation;
      /** Where it still has requests or orders in progress. */
      readonly busyTargets: readonly TargetName[];
      readonly busyWorkspaces: readonly WorkspaceName[];
      /** Every process that has said hello to it and was not seen out. */
      readonly heardOf: readonly InstanceName[];
    }
  | {
      readonly kind: 'silent';
      readonly process: InstanceName;
      readonly side: Owner;
    }
  | {
      readonly kind: 'out';
      readonly process: InstanceName;
      readonly side: Owner;
      readonly evidence: StopEvidence;
    };

/** A process that a move waits for, and why. */
export interface AwaitedProcess {
  readonly process: InstanceName;
  readonly reason:
    | 'behind'
    | 'busy'
    | 'silent'
    | 'notSurelyOut'
    /** Others know of it, but it was not asked. */
    | 'notAsked'
    /** No process of the older system has reported. */
    | 'noWordFromOlderSystem';
}

/** What a move asks of its driver. */
export type MoveEffect =
  | TableFlowEffect
  /**
   * Ask every process of both sides: those of the platform's list, those with
   * a session, and those that these have heard of.
   */
  | {readonly kind: 'readProcesses'}
  /** Tell operators who is waited for, and go on after the pause. */
  | {
      readonly kind: 'awaitProcesses';
      readonly processes: readonly AwaitedProcess[];
      readonly duration: Milliseconds;
    };

/** What its driver answers; `awaitProcesses` is replied to with `waited`. */
export type MoveReply =
  | TableFlowReply
  | {readonly kind: 'processes'; readonly reports: readonly ProcessReport[]};

/** How a move ended. */
export interface MoveOutcome {
  readonly kind: 'opened' | 'cancelled';
  readonly generation: Generation;
}

/** Why a move can't be carried on. */
export type MoveFault =
  | {readonly kind: 'unknownMove'; readonly moveId: PlanId}
  | {readonly kind: 'malformedRow'; readonly key: string};

/** A move on its way; it may be dropped and begun again at any point. */
export type MoveFlow<Outcome> = Flow<MoveEffect, MoveReply, Outcome>;
