import {unreachable, type ForwardAttemptEnd} from '@hibiscusbeam/core';
import type {AcceptedRequest} from './request_acceptance';
import type {RequestRunOptions, TakenPlace} from './request_context';

/** One send, as far as it says something of its target. */
export interface NotedSend {
  readonly accepted: AcceptedRequest;
  readonly place: TakenPlace;
  /** Aborted once nothing listens at the target's address any more. */
  readonly foundClosed: AbortController;
}

/** Notes what one send says of its target. */
export interface TargetNotes {
  readonly noteSilence: () => void;
  readonly noteEnd: (end: ForwardAttemptEnd) => void;
}

/** Creates the notes of one send; it counts as one failure at most. */
export function createTargetNotes(
  options: RequestRunOptions,
  {accepted, place, foundClosed}: NotedSend,
): TargetNotes {
  const {book, clock, crashWatch, metrics} = options;
  const {fingerprint, route} = accepted;
  const {target} = place;
  let hasFailed = false;

  function noteFailure(): void {
    if (!hasFailed) book.recordFailure(target, clock());
    hasFailed = true;
  }

  function noteTarget(end: ForwardAttemptEnd): void {
    switch (end.kind) {
      case 'unknown':
      case 'broken':
        return noteFailure();
      case 'notRun':
        // Nothing was asked of the target.
        if (end.cause === 'outdated') return;
        if (end.cause === 'connectionRefused') {
          return book.recordRefusedConnection(target, clock());
        }
        if (end.cause === 'misdirected') {
          book.recordMisdirected(target, clock());
        }
        return noteFailure();
      case 'timedOut':
      case 'callerGone':
        return;
      case 'answered':
      case 'streamed':
        return book.recordSuccess(target);
      default:
        return unreachable(end);
    }
  }

  function noteCrash(end: ForwardAttemptEnd): void {
    switch (end.kind) {
      case 'unknown':
      case 'broken':
        if (place.lifeEnded.aborted || foundClosed.signal.aborted) {
          return crashWatch.noteEnded(fingerprint, target);
        }
        return void crashWatch.noteLost(fingerprint, target);
      case 'answered':
      case 'streamed':
        return crashWatch.noteCompleted(fingerprint);
      case 'notRun':
      case 'timedOut':
      case 'callerGone':
        return;
      default:
        return unreachable(end);
    }
  }

  return {
    noteSilence: noteFailure,
    noteEnd: end => {
      noteTarget(end);
      if (isConnectionLost(end)) metrics.countLostSend(route.name);
      noteCrash(end);
    },
  };
}

/** Whether the connection to a target ended before its answer did. */
function isConnectionLost(end: ForwardAttemptEnd): boolean {
  return 'cause' in end && end.cause === 'connectionLost';
}
