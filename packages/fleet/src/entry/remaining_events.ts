import {
  passTimeOf,
  type EventPauses,
  type ForwardAttemptEnd,
  type RemainingStream,
} from '@hibiscusbeam/core';
import type {RequestRunContext, RequestRunOptions} from './request_context';

/** How much of one stream is still to come. */
export interface RemainingEvents {
  /** Forecast by the pauses between its events; undefined if unknown. */
  readonly forecast: (pauses: EventPauses) => RemainingStream | undefined;
  /** Records the length of a stream that has ended. */
  readonly record: (end: ForwardAttemptEnd) => void;
}

/** Creates the forecast of one stream's rest. */
export function createRemainingEvents(
  options: Pick<RequestRunOptions, 'handover' | 'clock'>,
  {accepted, progress}: Pick<RequestRunContext, 'accepted' | 'progress'>,
): RemainingEvents {
  const {route, run, deadline} = accepted;

  function forecast(pauses: EventPauses): RemainingStream | undefined {
    const pause = pauses.median();
    const forwarded = forwardedEvents();
    const {profile, answerTokens, tokens} = run;
    if (pause === undefined || profile === undefined) return undefined;
    if (forwarded === undefined) return undefined;
    const {lengths} = options.handover;
    const events = lengths.remaining(route.name, forwarded, answerTokens);
    if (events === undefined) return undefined;
    return {
      events,
      pause,
      typicalPause: passTimeOf(profile, profile.slots, tokens),
      timeLeft: deadline - options.clock(),
    };
  }

  /** The event ids of resumable streams count the events. */
  function forwardedEvents(): number | undefined {
    const forwarded = Number(progress.lastEventId);
    return Number.isInteger(forwarded) ? forwarded : undefined;
  }

  function record(end: ForwardAttemptEnd): void {
    const events = forwardedEvents();
    if (end.kind !== 'streamed' || events === undefined) return;
    options.handover.lengths.record(route.name, events, run.answerTokens);
  }

  return {forecast, record};
}
