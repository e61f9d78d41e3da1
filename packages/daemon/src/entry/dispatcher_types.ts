import type {
  AttemptId,
  ChooseTargetEffect,
  Milliseconds,
  MonotonicInstant,
  RoutedWork,
  TargetName,
  RouterDump,
  RoutingEvent,
  DispatchTarget,
  WorkspaceConfiguration,
  WorkspaceName,
  ZoneName,
} from '@hibiscusbeam/core';
import type {Clock} from '../runtime/clock';
import type {TargetDirectory} from './target_directory';

/** What the dispatcher needs to know of a request. */
export interface RoutedRequest {
  readonly workspace: WorkspaceName;
  readonly precedence: Pick<WorkspaceConfiguration, 'priority' | 'weight'>;
  readonly work: RoutedWork;
  readonly prompt: string;
  /** Maximum number of tokens in the answer; 0 for a plain service. */
  readonly maximumTokens: number;
  readonly firstTokenBy: MonotonicInstant | undefined;
  readonly deadline: MonotonicInstant;
}

/**
 * A chosen target, reserved until the attempt is dispatched or given up; or the
 * reason why there is none.
 */
export interface Reservation {
  readonly choice: DispatchTarget;
  /** To be called once, when the attempt is dispatched or given up. */
  readonly release: () => void;
  /** To be called once, when the work at the target has ended. */
  readonly end: () => void;
  readonly expectedFirstToken: Milliseconds;
}

/** Chooses targets for the requests of this entry and queues requests. */
export interface Dispatcher {
  readonly choose: (
    request: RoutedRequest,
    effect: Pick<ChooseTargetEffect, 'exclude' | 'versionDigest' | 'until'>,
  ) => Promise<Reservation>;
  readonly record: (event: RoutingEvent) => void;
  readonly recordFirstToken: (
    expected: Milliseconds,
    actual: Milliseconds,
  ) => void;
  readonly recordAnswer: (work: RoutedWork, tokens: number) => void;
  readonly recordFirstTry: () => void;
  /** Takes a retry from the budget; false if none is left. */
  readonly spendRetry: (request: RoutedRequest) => boolean;
  /** Records which request and target an attempt belongs to, until it ends. */
  readonly recordAttempt: (
    attempt: AttemptId,
    request: RoutedRequest,
    target: TargetName,
  ) => void;
  readonly waiting: () => number;
  readonly dump: () => RouterDump;
  readonly close: () => void;
}

/** A request that waits for a target. */
export interface QueuedRequest {
  readonly request: RoutedRequest;
  readonly effect: Pick<
    ChooseTargetEffect,
    'exclude' | 'versionDigest' | 'until'
  >;
  readonly queuedAt: MonotonicInstant;
  readonly resolve: (reservation: Reservation) => void;
}

/** Options of {@link createDispatcher}. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly zone: ZoneName;
  readonly directory: TargetDirectory;
  readonly queueCapacity: number;
  /** Requests per second that a workspace sends to all entries. */
  readonly siteUse: (workspace: WorkspaceName) => number;
  /** Called with attempts to withdraw, as another target can serve them. */
  readonly onWithdraw: (attempt: AttemptId) => void;
  readonly onRetry: () => void;
}
