import type {Result} from 'ts-results';
import type {MonotonicInstant} from '../types';
import {evaluateTargets} from './commands/evaluate_targets';
import {recordEvent} from './commands/record_event';
import {chooseTarget} from './queries/choose_target';
import {
  describeRouter,
  findOverdueAttempts,
  findStalledAttempts,
} from './queries/describe_router';
import {createRouterState} from './state';
import type {
  NoTargetError,
  OverdueAttempt,
  RouterDump,
  RoutingEvent,
  StalledAttempt,
  TargetChoice,
  TargetRequest,
} from './types';

/** Chooses targets for the requests of one entry. */
export interface Router {
  /** Updates the state with one event of the entry. */
  readonly record: (event: RoutingEvent) => void;
  /** Ejects outliers and allows them to be probed; call about every 100 ms. */
  readonly evaluate: (now: MonotonicInstant) => void;
  /**
   * Chooses a target without changing the state; record `dispatched` once the
   * request is sent.
   */
  readonly chooseTarget: (
    request: TargetRequest,
  ) => Result<TargetChoice, NoTargetError>;
  /** Attempts to cancel and, if repeatable, to send elsewhere. */
  readonly stalledAttempts: () => readonly StalledAttempt[];
  /** Attempts to move if `chooseTarget`, with theirs excluded, is `idle`. */
  readonly overdueAttempts: (
    now: MonotonicInstant,
  ) => readonly OverdueAttempt[];
  readonly dump: (now: MonotonicInstant) => RouterDump;
}

/** Creates a router that knows no target until the first report. */
export function createRouter(): Router {
  const state = createRouterState();
  return {
    record: event => recordEvent(state, event),
    evaluate: now => evaluateTargets(state, now),
    chooseTarget: request => chooseTarget(state, request),
    stalledAttempts: () => findStalledAttempts(state),
    overdueAttempts: now => findOverdueAttempts(state, now),
    dump: now => describeRouter(state, now),
  };
}
