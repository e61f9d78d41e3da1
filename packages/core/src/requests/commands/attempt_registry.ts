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
import type {RefusedEvent, TombstoneAnswer, CompleteAnswer} from '../types';
import {createAnswerCache} from './answer_cache';
import {createAttemptMemory} from './attempt_memory';

/** What the agent does with a dispatch that it received. */
export type StartDecision =
  /** Recorded as started: forward it to the target, once. */
  | {readonly kind: 'start'}
  /** Never started and never will be: answer with `Refused`. */
  | {readonly kind: 'refused'; readonly event: RefusedEvent}
  /** Already finished: send this answer again. */
  | {readonly kind: 'replay'; readonly answer: CompleteAnswer}
  /** A duplicate, or nothing is known about it: answer with `Failed`. */
  | {readonly kind: 'failed'; readonly detail: string};

/** Options of {@link createAttemptRegistry}. */
export interface AttemptRegistryOptions {
  /** This agent's incarnation; attempts for any other are not started. */
  readonly incarnation: Incarnation;
  /** Maximum number of attempts running at once; more are refused. */
  readonly maximumRunning: number;
  /** Maximum number of attempts remembered besides the running ones. */
  readonly maximumRecords: number;
  /** Maximum number of entry incarnations that may send attempts. */
  readonly maximumSenders: number;
  /** Maximum total size of the finished answers that are kept. */
  readonly answerBytes: Bytes;
  /** Maximum time for which a finished answer is kept. */
  readonly answerRetention: Milliseconds;
  /** How long refused callers should wait before they retry. */
  readonly retryAfter: Milliseconds;
}

/** Default bounds; about 10 MB of memory when all are reached. */
export const DEFAULT_REGISTRY_BOUNDS = {
  maximumRunning: 512,
  // At a hundred calls a second, an entry has over three minutes to query an
  // attempt before it is forgotten.
  maximumRecords: 20_000,
  // Eight entries replaced every ten minutes for a month add up to 35,000.
  maximumSenders: 40_000,
  answerBytes: 8 * 1024 * 1024,
  answerRetention: 10 * 60_000,
  retryAfter: 1000,
} as const;

/** The attempts known to one incarnation of an agent. */
export interface AttemptRegistry {
  /** Decides on a dispatch; `start` is recorded before it is returned. */
  readonly start: (
    attempt: AttemptId,
    incarnation: Incarnation,
    now: MonotonicInstant,
  ) => StartDecision;
  /**
   * Records the end of a started attempt; `answer` is `undefined` if there is
   * no complete one.
   */
  readonly finish: (
    attempt: AttemptId,
    answer: CompleteAnswer | undefined,
    now: MonotonicInstant,
  ) => void;
  /**
   * Records that the target itself refused a started attempt before doing any
   * of its work, and closes the attempt. `undefined` if it was not running.
   */
  readonly recordTargetRefusal: (
    attempt: AttemptId,
    reason: NotRunReason,
  ) => RefusedEvent | undefined;
  /** Ensures that the attempt never starts, or reports that it has. */
  readonly tombstone: (
    attempt: AttemptId,
    incarnation: Incarnation,
  ) => TombstoneAnswer;
  /** A finished attempt's answer, if still kept. Starts nothing. */
  readonly collect: (
    attempt: AttemptId,
    incarnation: Incarnation,
    now: MonotonicInstant,
  ) => CompleteAnswer | undefined;
  /** Stops (`true`) or resumes (`false`) the start of new attempts. */
  readonly setLeaving: (leaving: boolean) => void;
  /** Current sizes, for dumps and metrics. */
  readonly sizes: () => {
    readonly running: number;
    readonly records: number;
    readonly senders: number;
    readonly answerBytes: Bytes;
  };
}

/** Creates the registry of one incarnation of an agent. */
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
      // The caller gets "not run", so a late duplicate of the message must not
      // start the attempt once there is room again.
      memory.close(attempt, parts);
      return refuse(attempt, leaving ? 'targetLeaving' : 'queueFull');
    }
    // Recorded before it is forwarded, so that a duplicate finds it.
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
      // A dispatch that was delayed since before this agent started may have
      // run in its previous incarnation.
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
          // Tombstoned for another entry that found a claim of the same key.
          return refuse(attempt, leaving ? 'targetLeaving' : 'inProgress');
        case 'finished':
          return replay(attempt, now);
        case 'running':
          // Not `refused`: the first copy is running.
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
      // Closed, not forgotten: a duplicate of the dispatch must not reach the
      // target once it has room again.
      if (!memory.ended(attempt, 'closed')) return undefined;
      return refusal(attempt, reason);
    },
    tombstone(attempt, addressedTo) {
      const parts = parseAttempt(attempt);
      // This incarnation knows nothing about the attempts of another.
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
