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

/** What a request needs, and for whom. */
export interface RoutedRequest {
  readonly workspace: WorkspaceName;
  readonly precedence: Pick<WorkspaceConfiguration, 'priority' | 'weight'>;
  readonly work: RoutedWork;
  readonly prompt: string;
  /** Most tokens of the answer; 0 for a plain service. */
  readonly maximumTokens: number;
  readonly firstTokenBy: MonotonicInstant | undefined;
  readonly deadline: MonotonicInstant;
}

/** A choice, held until its attempt is dispatched or given up. */
export interface Reservation {
  readonly choice: DispatchTarget;
  /** To be called once, when the attempt is dispatched or never will be. */
  readonly release: () => void;
  /** To be called once, when the work at the target is over. */
  readonly end: () => void;
  readonly expectedFirstToken: Milliseconds;
}

/** Chooses targets for the requests of this entry and queues what waits. */
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
  /** Whether the request may be tried once more. */
  readonly spendRetry: (request: RoutedRequest) => boolean;
  /** Says which request an attempt at a target is for, until it ends. */
  readonly recordAttempt: (
    attempt: AttemptId,
    request: RoutedRequest,
    target: TargetName,
  ) => void;
  readonly waiting: () => number;
  readonly dump: () => RouterDump;
  readonly close: () => void;
}

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
  /** Requests per second that a workspace sends to the whole site. */
  readonly siteUse: (workspace: WorkspaceName) => number;
  /** Told of attempts that should be given up, as another target is better. */
  readonly onWithdraw: (attempt: AttemptId) => void;
  readonly onRetry: () => void;
}
