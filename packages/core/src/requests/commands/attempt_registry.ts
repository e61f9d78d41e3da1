import {unreachable} from '../../kernel/flow';
import type {
  AttemptId,
  Bytes,
  Incarnation,
  Milliseconds,
  MonotonicInstant,
  NotRunReason,
} from '../../types';
import {parseAttempt, type AttemptParts} from '../queries/attempt_id';
import type {RefusedEvent, TombstoneAnswer, WholeAnswer} from '../types';
import {createAnswerCache} from './answer_cache';
import {createAttemptMemory} from './attempt_memory';

/** What the agent does with a dispatch that reached it. */
export type StartDecision =
  /** Recorded as started: pass it on to the target, once. */
  | {readonly kind: 'start'}
  /** Never started and never will: answer with `Refused`. */
  | {readonly kind: 'refused'; readonly event: RefusedEvent}
  /** Finished before: send this answer again. */
  | {readonly kind: 'replay'; readonly answer: WholeAnswer}
  /** A second copy, or nothing is known of it: answer with `Failed`. */
  | {readonly kind: 'failed'; readonly detail: string};

/** Options of {@link createAttemptRegistry}. */
export interface AttemptRegistryOptions {
  /** This agent's life; attempts for any other are not started. */
  readonly incarnation: Incarnation;
  /** Most attempts running at once; more are refused. */
  readonly maximumRunning: number;
  /** Most attempts remembered besides those that run. */
  readonly maximumRecords: number;
  /** Most lives of entries that may send attempts to this life. */
  readonly maximumSenders: number;
  /** Most bytes of finished answers kept. */
  readonly answerBytes: Bytes;
  /** How long a finished answer is kept at most. */
  readonly answerRetention: Milliseconds;
  /** When refused callers should come back. */
  readonly retryAfter: Milliseconds;
}

/** Bounds for an agent of today's size: about 10 MB when all are full. */
export const DEFAULT_REGISTRY_BOUNDS = {
  maximumRunning: 512,
  // At a hundred calls a second, an entry has over three minutes to ask
  // about an attempt before it is forgotten.
  maximumRecords: 20_000,
  // Eight entries replaced every ten minutes for a month come to 35,000.
  maximumSenders: 40_000,
  answerBytes: 8 * 1024 * 1024,
  answerRetention: 10 * 60_000,
  retryAfter: 1000,
} as const;

/** An agent's memory of attempts, for one life of the agent. */
export interface AttemptRegistry {
  /** Decides on a dispatch; `start` is recorded before it is returned. */
  readonly start: (
    attempt: AttemptId,
    incarnation: Incarnation,
    now: MonotonicInstant,
  ) => StartDecision;
  /** Notes a started attempt's end; `undefined` if it has no whole answer. */
  readonly finish: (
    attempt: AttemptId,
    answer: WholeAnswer | undefined,
    now: MonotonicInstant,
  ) => void;
  /**
   * Notes that the target itself refused a started attempt before any of its
   * work; the attempt is closed. `undefined` if it was not running.
   */
  readonly recordTargetRefusal: (
    attempt: AttemptId,
    reason: NotRunReason,
  ) => RefusedEvent | undefined;
  /** Makes sure that the attempt never starts, or says that it has. */
  readonly tombstone: (
    attempt: AttemptId,
    incarnation: Incarnation,
  ) => TombstoneAnswer;
  /** A finished attempt's answer, if still kept. Starts nothing. */
  readonly collect: (
    attempt: AttemptId,
    incarnation: Incarnation,
    now: MonotonicInstant,
  ) => WholeAnswer | undefined;
  /** From now on starts nothing new (`true`), or does again (`false`). */
  readonly setLeaving: (leaving: boolean) => void;
  /** How much is remembered, for dumps and metrics. */
  readonly sizes: () => {
    readonly running: number;
    readonly records: number;
    readonly senders: number;
    readonly answerBytes: Bytes;
  };
}

/** Creates the registry of one life of an agent. */
export function createAttemptRegistry(
  options: AttemptRegistryOptions,
): AttemptRegistry {
  const {incarnation, maximumRunning} = options;
  const answers = createAnswerCache(options);
  const memory = createAttemptMemory(options, answers.remove);
  let leaving = false;

  function refusal(attempt: AttemptId, reason: NotRunReason): RefusedEvent {
    const {retryAfter} = options;
    return {kind: 'refused', attempt, incarnation, reason, retryAfter};
  }

  function refuse(attempt: AttemptId, reason: NotRunReason): StartDecision {
    return {kind: 'refused', event: refusal(attempt, reason)};
  }

  function startUnseen(attempt: AttemptId, parts: AttemptParts): StartDecision {
    const full = memory.sizes().running >= maximumRunning;
    if (leaving || full) {
      // The caller is told "not run": a late second copy of the message must
      // not start it when there is room again.
      memory.close(attempt, parts);
      return refuse(attempt, leaving ? 'targetLeaving' : 'queueFull');
    }
    // Recorded before it is passed on, so that a second copy finds it.
    memory.started(attempt, parts);
    return {kind: 'start'};
  }

  function replay(attempt: AttemptId, now: MonotonicInstant): StartDecision {
    const answer = answers.get(attempt, now);
    if (answer !== undefined) return {kind: 'replay', answer};
    return {kind: 'failed', detail: 'finished; its answer is not kept'};
  }

  function tombstoneState(
    attempt: AttemptId,
    parts: AttemptParts,
  ): TombstoneAnswer['state'] {
    const state = memory.stateOf(attempt, parts);
    switch (state) {
      case 'running':
        return 'started';
      case 'finished':
      case 'forgotten':
        return state;
      case 'closed':
      case 'barred':
        return 'tombstoned';
      case 'unseen':
        memory.close(attempt, parts);
        return 'tombstoned';
      default:
        return unreachable(state);
    }
  }

  return {
    start(attempt, addressedTo, now) {
      // A dispatch that was held up since before this agent's start may have
      // run in its earlier life.
      if (addressedTo !== incarnation) {
        return {kind: 'failed', detail: 'addressed to another incarnation'};
      }
      const parts = parseAttempt(attempt);
      if (parts === undefined) {
        return {kind: 'failed', detail: 'malformed attempt'};
      }
      const state = memory.stateOf(attempt, parts);
      switch (state) {
        case 'unseen':
          return startUnseen(attempt, parts);
        case 'barred':
          return refuse(attempt, leaving ? 'targetLeaving' : 'queueFull');
        case 'closed':
          // Tombstoned for another entry that met the same key.
          return refuse(attempt, leaving ? 'targetLeaving' : 'inProgress');
        case 'finished':
          return replay(attempt, now);
        case 'running':
          // Not `refused`: the first copy runs.
          return {kind: 'failed', detail: 'started before'};
        case 'forgotten':
          return {kind: 'failed', detail: 'may have run before'};
        default:
          return unreachable(state);
      }
    },
    finish(attempt, answer, now) {
      if (!memory.ended(attempt, 'finished')) return;
      if (answer !== undefined) answers.keep(attempt, answer, now);
    },
    recordTargetRefusal(attempt, reason) {
      // Closed, not forgotten: a second copy of the dispatch must not reach
      // the target when it has room again.
      if (!memory.ended(attempt, 'closed')) return undefined;
      return refusal(attempt, reason);
    },
    tombstone(attempt, addressedTo) {
      const parts = parseAttempt(attempt);
      // A word about another life's attempt would be a guess.
      if (addressedTo !== incarnation || parts === undefined) {
        return {attempt, incarnation, state: 'otherIncarnation'};
      }
      return {attempt, incarnation, state: tombstoneState(attempt, parts)};
    },
    collect(attempt, addressedTo, now) {
      if (addressedTo !== incarnation) return undefined;
      return answers.get(attempt, now);
    },
    setLeaving(value) {
      leaving = value;
    },
    sizes: () => ({...memory.sizes(), answerBytes: answers.bytes()}),
  };
}
