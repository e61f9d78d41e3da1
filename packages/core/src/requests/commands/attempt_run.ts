import {unreachable} from '../../kernel/flow';
import type {MonotonicInstant} from '../../types';
import type {
  AttemptAddress,
  AttemptEvent,
  CollectEffect,
  CreateDigester,
  RefusedEvent,
  RequestFlow,
  CompleteAnswer,
} from '../types';
import type {DispatchEffect} from '../evidence';
import {createAnswerAssembler, type AnswerAssembler} from './answer_assembler';
import {nextEvent} from './steps';

/** How an attempt's stream ended. */
export type RunEnd =
  | {readonly kind: 'answered'; readonly answer: CompleteAnswer}
  | {readonly kind: 'refused'; readonly event: RefusedEvent}
  /** It may have run; no complete answer arrived. */
  | {readonly kind: 'unclear'; readonly detail: string};

/** Reads an attempt's complete answer from its stream. */
export function* runToEnd(
  effect: DispatchEffect | CollectEffect,
  options: {
    readonly createDigester: CreateDigester;
    readonly limits: {readonly answerBytes: number};
    readonly now: () => MonotonicInstant;
  },
): RequestFlow<RunEnd> {
  const {address, until} = effect;
  const {attempt, incarnation} = address;
  const assembler = createAnswerAssembler(attempt, {
    incarnation,
    createDigester: options.createDigester,
    answerBytes: options.limits.answerBytes,
  });
  let event = yield* nextEvent(effect);
  for (;;) {
    const end = evaluateEvent(assembler, address, event);
    if (end !== undefined) return end;
    // Endless frames of other attempts must not keep the flow running forever.
    if (options.now() >= until) return {kind: 'unclear', detail: 'deadline'};
    event = yield* nextEvent({kind: 'awaitEvent', attempt, until});
  }
}

function evaluateEvent(
  assembler: AnswerAssembler,
  address: AttemptAddress,
  event: AttemptEvent,
): RunEnd | undefined {
  switch (event.kind) {
    case 'started':
    case 'data':
    case 'end': {
      const result = assembler.accept(event);
      if (result.kind === 'complete') {
        return {kind: 'answered', answer: result.answer};
      }
      if (result.kind === 'broken') {
        return {kind: 'unclear', detail: result.detail};
      }
      return undefined;
    }
    case 'refused':
      if (event.attempt !== address.attempt) return undefined;
      return {kind: 'refused', event};
    case 'failed':
      if (event.attempt !== address.attempt) return undefined;
      return {kind: 'unclear', detail: event.detail};
    case 'cut':
      return {kind: 'unclear', detail: event.detail};
    case 'timedOut':
      return {kind: 'unclear', detail: 'deadline'};
    case 'callerGone':
      // The outcome of an at-most-once run is recorded even for a caller that
      // has gone.
      return undefined;
    default:
      return unreachable(event);
  }
}
