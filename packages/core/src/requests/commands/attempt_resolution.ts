import {unreachable} from '../../kernel/flow';
import type {NotRunEvidence} from '../../types';
import {evidenceOfTombstone} from '../evidence';
import {agentKey, readIncarnation} from '../queries/claim_row';
import type {
  AttemptAddress,
  RequestFlow,
  TombstoneAnswer,
  CompleteAnswer,
} from '../types';
import type {AtMostOnceOptions} from './at_most_once_options';
import {runToEnd} from './attempt_run';
import {requestTombstone, perform, readRow} from './steps';

/** What is known about an attempt that may have run. */
export type Resolution =
  /** It never ran and never will. */
  | {readonly kind: 'neverRan'; readonly evidence: NotRunEvidence}
  | {readonly kind: 'running'}
  | {readonly kind: 'answered'; readonly answer: CompleteAnswer}
  /** It has finished, but the agent no longer has its answer. */
  | {readonly kind: 'answerLost'}
  /**
   * Can never be known: the agent was restarted or has forgotten the attempt.
   */
  | {readonly kind: 'unknowable'; readonly detail: string}
  | {readonly kind: 'unreachable'};

/**
 * Asks the attempt's agent to ensure that it never starts, and finds out what
 * became of it if it has started.
 */
export function* resolveAttempt(
  options: AtMostOnceOptions,
  address: AttemptAddress,
): RequestFlow<Resolution> {
  const until = replyDeadline(options);
  const answer = yield* requestTombstone({kind: 'tombstone', address, until});
  if (answer === undefined || answer.attempt !== address.attempt) {
    return yield* checkIncarnationRow(address);
  }
  return yield* evaluateTombstone(options, address, answer);
}

/** A {@link Resolution} that waiting longer would not change. */
export type FinalResolution =
  | Exclude<Resolution, {readonly kind: 'running' | 'unreachable'}>
  | {readonly kind: 'undecided'};

/**
 * Resolves an attempt, polling until it has ended or the deadline is reached.
 */
export function* awaitResolution(
  options: AtMostOnceOptions,
  address: AttemptAddress,
): RequestFlow<FinalResolution> {
  const {limits, now, deadline} = options;
  // Without this limit a frozen agent would block its callers forever.
  while (now() < deadline) {
    const found = yield* resolveAttempt(options, address);
    if (found.kind !== 'running' && found.kind !== 'unreachable') return found;
    const duration = Math.min(limits.pollInterval, deadline - now());
    yield* perform({kind: 'wait', duration}, 'done');
  }
  return {kind: 'undecided'};
}

function replyDeadline({now, limits, deadline}: AtMostOnceOptions): number {
  return Math.min(now() + limits.tombstoneTimeout, deadline);
}

function* evaluateTombstone(
  options: AtMostOnceOptions,
  address: AttemptAddress,
  answer: TombstoneAnswer,
): RequestFlow<Resolution> {
  switch (answer.state) {
    case 'tombstoned': {
      const evidence = evidenceOfTombstone(address, answer);
      if (evidence === undefined) return {kind: 'unreachable'};
      return {kind: 'neverRan', evidence};
    }
    case 'started':
      return {kind: 'running'};
    case 'finished':
      return yield* collect(options, address);
    case 'forgotten':
      return {kind: 'unknowable', detail: 'the agent has forgotten it'};
    case 'otherIncarnation':
      return yield* resolveOtherIncarnation(address, answer);
    default:
      return unreachable(answer.state);
  }
}

function* collect(
  options: AtMostOnceOptions,
  address: AttemptAddress,
): RequestFlow<Resolution> {
  const until = replyDeadline(options);
  const end = yield* runToEnd({kind: 'collect', address, until}, options);
  if (end.kind !== 'answered') return {kind: 'answerLost'};
  return {kind: 'answered', answer: end.answer};
}

function* resolveOtherIncarnation(
  address: AttemptAddress,
  answer: TombstoneAnswer,
): RequestFlow<Resolution> {
  if (answer.incarnation > address.incarnation) return agentRestarted(address);
  return yield* checkIncarnationRow(address);
}

function* checkIncarnationRow(
  address: AttemptAddress,
): RequestFlow<Resolution> {
  const row = yield* readRow(agentKey(address.instance));
  if (row.err || row.val === undefined) return {kind: 'unreachable'};
  const incarnation = readIncarnation(row.val.value);
  if (incarnation === undefined) return {kind: 'unreachable'};
  if (incarnation <= address.incarnation) return {kind: 'unreachable'};
  return agentRestarted(address);
}

function agentRestarted(address: AttemptAddress): Resolution {
  const detail = `${address.instance} was restarted while it held the attempt`;
  return {kind: 'unknowable', detail};
}
