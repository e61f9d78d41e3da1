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
 * Sends an attempt to its agent. Built only by {@link OwnAttempt}, so that
 * nothing can be dispatched without the attempt remembering it.
 */
export interface DispatchEffect {
  readonly [builtByOwnAttempt]: true;
  readonly kind: 'dispatch';
  readonly address: AttemptAddress;
  /** The driver replies `timedOut` at this instant. */
  readonly until: MonotonicInstant;
  /** End of the caller's interest; the agent gets what is left of it. */
  readonly deadline: MonotonicInstant;
  /** Present if the rest of an answer begun is asked for: no other version. */
  readonly versionDigest: VersionDigest | undefined;
}

/** Where an attempt is sent. */
export interface AttemptDestination {
  readonly target: TargetName;
  readonly instance: InstanceName;
  readonly incarnation: Incarnation;
}

/** An attempt that this flow minted: it alone can dispatch or disown it. */
export interface OwnAttempt {
  readonly attempt: AttemptId;
  /** Builds the dispatch, once. Throws if disowned or already dispatched. */
  readonly dispatch: (
    destination: AttemptDestination,
    terms: Pick<DispatchEffect, 'until' | 'deadline' | 'versionDigest'>,
  ) => DispatchEffect;
  /** Gives the attempt up for good; `undefined` once it was dispatched. */
  readonly disown: () => NotRunEvidence | undefined;
  /** `undefined` unless the refusal is for this attempt at this incarnation. */
  readonly refused: (event: RefusedEvent) => NotRunEvidence | undefined;
}

type OwnAttemptState =
  | {readonly kind: 'fresh'}
  | {readonly kind: 'disowned'}
  | {readonly kind: 'dispatched'; readonly address: AttemptAddress};

/** Takes charge of a newly minted attempt. */
export function createOwnAttempt(attempt: AttemptId): OwnAttempt {
  let state: OwnAttemptState = {kind: 'fresh'};
  return {
    attempt,
    dispatch(destination, terms) {
      // A disowned attempt was reported as not run, and a second dispatch of
      // one attempt could reach another agent: both would falsify evidence.
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
      // A refusal by another incarnation says nothing about the one that was
      // addressed: a doubled message may have started the attempt there.
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
 * Evidence from an agent's answer to a tombstone; `undefined` unless that
 * same incarnation confirmed it for that same attempt.
 */
export function evidenceOfTombstone(
  address: AttemptAddress,
  answer: TombstoneAnswer,
): NotRunEvidence | undefined {
  if (answer.state !== 'tombstoned') return undefined;
  // Another incarnation knows nothing of what this one started.
  if (answer.incarnation !== address.incarnation) return undefined;
  if (answer.attempt !== address.attempt) return undefined;
  const {attempt, incarnation} = address;
  return {kind: 'tombstoned', attempt, incarnation} as NotRunEvidence;
}
