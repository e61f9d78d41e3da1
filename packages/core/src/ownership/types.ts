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

/** Evidence that a process can no longer serve requests or give orders. */
export type StopEvidence =
  /** It sent a goodbye after it had finished its work in progress. */
  | {readonly kind: 'goodbye'}
  /**
   * Time since its lease ended; a process stops itself before its lease ends.
   */
  | {readonly kind: 'leaseEnded'; readonly since: Milliseconds}
  /** Time for which the platform's list has not contained the instance. */
  | {readonly kind: 'delisted'; readonly since: Milliseconds}
  /** An operator has confirmed that the instance does not run. */
  | {readonly kind: 'declared'; readonly operator: string};

/** State of one process while a move waits. */
export type ProcessReport =
  | {
      readonly kind: 'reports';
      readonly process: InstanceName;
      readonly side: Owner;
      readonly generation: Generation;
      /** Targets and workspaces with requests or orders in progress. */
      readonly busyTargets: readonly TargetName[];
      readonly busyWorkspaces: readonly WorkspaceName[];
      /**
       * Every process that has sent it a hello and is not known to have
       * stopped.
       */
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

/** A process that a move waits for, and the reason. */
export interface AwaitedProcess {
  readonly process: InstanceName;
  readonly reason:
    | 'behind'
    | 'busy'
    | 'silent'
    | 'notSurelyOut'
    /** Other processes know of it, but it was not queried. */
    | 'notAsked'
    /** No process of the older system has reported. */
    | 'noWordFromOlderSystem';
}

/** Effect that a move requests from its driver. */
export type MoveEffect =
  | TableFlowEffect
  /**
   * Query every process of both sides: those on the platform's list, those with
   * a session, and those that these processes know of.
   */
  | {readonly kind: 'readProcesses'}
  /**
   * Report the awaited processes to operators, and continue after the pause.
   */
  | {
      readonly kind: 'awaitProcesses';
      readonly processes: readonly AwaitedProcess[];
      readonly duration: Milliseconds;
    };

/** Reply of the driver; `awaitProcesses` is answered with `waited`. */
export type MoveReply =
  | TableFlowReply
  | {readonly kind: 'processes'; readonly reports: readonly ProcessReport[]};

/** Outcome of a move. */
export interface MoveOutcome {
  readonly kind: 'opened' | 'cancelled';
  readonly generation: Generation;
}

/** Why a move cannot continue. */
export type MoveFault =
  | {readonly kind: 'unknownMove'; readonly moveId: PlanId}
  | {readonly kind: 'malformedRow'; readonly key: string};

/** A move in progress; it may be abandoned and restarted at any point. */
export type MoveFlow<Outcome> = Flow<MoveEffect, MoveReply, Outcome>;
