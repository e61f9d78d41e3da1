import type {ClientReadableStream} from '@grpc/grpc-js';
import {
  isNotRunReason,
  type AttemptEvent,
  type MonotonicInstant,
} from '@hibiscusbeam/core';
import type {ServeFrame} from '@hibiscusbeam/wire';
import type {Clock} from '../runtime/clock';

/** Events buffered for a slow caller before the agent's stream is paused. */
const MAX_BUFFERED_EVENTS = 64;

/** The events of one attempt, in the order of arrival. */
export interface AttemptStream {
  /**
   * Returns the next event, or `timedOut` at `until`. A buffered event is
   * returned without a promise.
   */
  readonly next: (
    until: MonotonicInstant,
  ) => AttemptEvent | Promise<AttemptEvent>;
  /** Delivers an event that doesn't come from the agent. */
  readonly interrupt: (event: AttemptEvent) => void;
  /** Cancels the call to the agent and stops reading. */
  readonly cancel: () => void;
}

/** Converts an agent's stream of frames to events, with backpressure. */
export function createAttemptStream(
  stream: ClientReadableStream<ServeFrame>,
  clock: Clock,
): AttemptStream {
  const bufferedEvents: AttemptEvent[] = [];
  let resolveNext: ((event: AttemptEvent) => void) | undefined;
  let ended = false;

  const deliver = (event: AttemptEvent): void => {
    if (resolveNext !== undefined) {
      const resolve = resolveNext;
      resolveNext = undefined;
      resolve(event);
      return;
    }
    bufferedEvents.push(event);
    if (bufferedEvents.length >= MAX_BUFFERED_EVENTS) stream.pause();
  };

  const finish = (detail: string): void => {
    if (ended) return;
    ended = true;
    deliver({kind: 'cut', detail});
  };

  stream.on('data', (frame: ServeFrame) => deliver(eventOf(frame)));
  stream.on('error', error => finish(error.message));
  stream.on('end', () => finish('the stream ended'));

  const wait = (until: MonotonicInstant): Promise<AttemptEvent> =>
    new Promise(resolve => {
      const timer = setTimeout(
        () => {
          resolveNext = undefined;
          resolve({kind: 'timedOut'});
        },
        Math.max(0, until - clock()),
      );
      resolveNext = event => {
        clearTimeout(timer);
        resolve(event);
      };
    });

  return {
    next: until => {
      const event = bufferedEvents.shift();
      if (event === undefined) {
        if (ended) return {kind: 'cut', detail: 'the stream ended'};
        return wait(until);
      }
      if (bufferedEvents.length === 0 && stream.isPaused()) stream.resume();
      return event;
    },
    interrupt: event => {
      if (!ended) deliver(event);
    },
    cancel: () => {
      ended = true;
      stream.cancel();
    },
  };
}

function eventOf(message: ServeFrame): AttemptEvent {
  const {attempt, frame} = message;
  switch (frame?.$case) {
    case 'started': {
      const {versionDigest, incarnation} = frame.started;
      return {
        kind: 'started',
        attempt,
        versionDigest: versionDigest === '' ? undefined : versionDigest,
        incarnation,
      };
    }
    case 'data':
      return {kind: 'data', attempt, ...frame.data};
    case 'end':
      return {kind: 'end', attempt, ...frame.end};
    case 'refused': {
      const {reason, retryAfterMilliseconds, incarnation} = frame.refused;
      return {
        kind: 'refused',
        attempt,
        incarnation,
        reason: isNotRunReason(reason) ? reason : 'noTarget',
        retryAfter: retryAfterMilliseconds,
      };
    }
    case 'failed':
      return {kind: 'failed', attempt, detail: frame.failed.detail};
    case undefined:
      return {kind: 'failed', attempt, detail: 'an unknown frame'};
  }
}
