import type {
  AttemptId,
  InstanceName,
  MonotonicInstant,
  NotRunEvidence,
  TargetName,
  Incarnation,
  VersionDigest,
} from '../types';
import type {AttemptAddress, RefusedEvent, TombstoneAnswer} from './types';

declare const builtByOwnAttempt: unique symbol;

/**
 * Sends an attempt to its agent. Only {@link OwnAttempt} builds it, so that
 * every dispatch is recorded in its attempt.
 */
export interface DispatchEffect {
  readonly [builtByOwnAttempt]: true;
  readonly kind: 'dispatch';
  readonly address: AttemptAddress;
  /** The driver replies `timedOut` at this instant. */
  readonly until: MonotonicInstant;
  /** The caller's deadline. The agent is sent the time that remains. */
  readonly deadline: MonotonicInstant;
  /**
   * Set to resume an answer that has started: no other version may serve it.
   */
  readonly versionDigest: VersionDigest | undefined;
}

/** Where an attempt is sent. */
export interface AttemptDestination {
  readonly target: TargetName;
  readonly instance: InstanceName;
  readonly incarnation: Incarnation;
}

/** An attempt created by this flow, which alone can dispatch or disown it. */
export interface OwnAttempt {
  readonly attempt: AttemptId;
  /** Builds the dispatch, once. Throws if disowned or already dispatched. */
  readonly dispatch: (
    destination: AttemptDestination,
    terms: Pick<DispatchEffect, 'until' | 'deadline' | 'versionDigest'>,
  ) => DispatchEffect;
  /**
   * Abandons the attempt for good; `undefined` if it was already dispatched.
   */
  readonly disown: () => NotRunEvidence | undefined;
  /**
   * Evidence from a refusal; `undefined` unless the refusal is for this attempt
   * at the addressed incarnation.
   */
  readonly refused: (event: RefusedEvent) => NotRunEvidence | undefined;
}

type OwnAttemptState =
  | {readonly kind: 'fresh'}
  | {readonly kind: 'disowned'}
  | {readonly kind: 'dispatched'; readonly address: AttemptAddress};

/** Wraps a newly created attempt. */
export function createOwnAttempt(attempt: AttemptId): OwnAttempt {
  let state: OwnAttemptState = {kind: 'fresh'};
  return {
    attempt,
    dispatch(destination, terms) {
      // A disowned attempt was reported as not run, and a second dispatch of
      // the same attempt could reach another agent. Either would invalidate the
      // evidence.
      if (state.kind !== 'fresh') {
        throw new Error(`attempt ${attempt} is ${state.kind}`);
      }
      const address: AttemptAddress = {attempt, ...destination};
      state = {kind: 'dispatched', address};
      return {kind: 'dispatch', address, ...terms} as DispatchEffect;
    },
    disown() {
      // A dispatched attempt may run at any later time, so it can't be
      // reported as never dispatched.
      if (state.kind === 'dispatched') return undefined;
      state = {kind: 'disowned'};
      return {kind: 'neverDispatched'} as NotRunEvidence;
    },
    refused(event) {
      if (state.kind !== 'dispatched') return undefined;
      // A refusal by another incarnation proves nothing about the addressed
      // one, where a duplicate of the message may have started the attempt.
      if (event.incarnation !== state.address.incarnation) return undefined;
      if (event.attempt !== attempt) return undefined;
      const {incarnation} = event;
      return {
        kind: 'refusedBeforeStart',
        attempt,
        incarnation,
      } as NotRunEvidence;
    },
  };
}

/**
 * Evidence from an agent's answer to a tombstone request; `undefined` unless
 * the addressed incarnation confirmed the tombstone for this attempt.
 */
export function evidenceOfTombstone(
  address: AttemptAddress,
  answer: TombstoneAnswer,
): NotRunEvidence | undefined {
  if (answer.state !== 'tombstoned') return undefined;
  // Another incarnation does not know what the addressed one has started.
  if (answer.incarnation !== address.incarnation) return undefined;
  if (answer.attempt !== address.attempt) return undefined;
  const {attempt, incarnation} = address;
  return {kind: 'tombstoned', attempt, incarnation} as NotRunEvidence;
}
