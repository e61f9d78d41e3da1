import {unreachable, type ForwardAttemptEnd} from '@hibiscusbeam/core';
import type {AcceptedRequest} from './request_acceptance';
import type {RequestRunOptions, TakenSlot} from './request_context';

/** An attempt whose outcome is recorded. */
export interface RecordedAttempt {
  readonly accepted: AcceptedRequest;
  readonly place: TakenSlot;
  /** Aborted once nothing listens at the target's address any more. */
  readonly foundClosed: AbortController;
}

/** Records what one attempt shows about its target. */
export interface AttemptRecorder {
  readonly recordSilence: () => void;
  readonly recordEnd: (end: ForwardAttemptEnd) => void;
}

/** Creates the recorder of one attempt; it counts as one failure at most. */
export function createAttemptRecorder(
  options: RequestRunOptions,
  {accepted, place, foundClosed}: RecordedAttempt,
): AttemptRecorder {
  const {registry, clock, crashMonitor, metrics} = options;
  const {fingerprint, route} = accepted;
  const {target} = place;
  let hasFailed = false;

  function recordFailure(): void {
    if (!hasFailed) registry.recordFailure(target, clock());
    hasFailed = true;
  }

  function recordTarget(end: ForwardAttemptEnd): void {
    switch (end.kind) {
      case 'unknown':
      case 'broken':
        return recordFailure();
      case 'notRun':
        // The target was not sent anything.
        if (end.cause === 'outdated') return;
        if (end.cause === 'connectionRefused') {
          return registry.recordRefusedConnection(target, clock());
        }
        if (end.cause === 'misdirected') {
          registry.recordMisdirected(target, clock());
        }
        return recordFailure();
      case 'timedOut':
      case 'callerGone':
        return;
      case 'answered':
      case 'streamed':
        return registry.recordSuccess(target);
      default:
        return unreachable(end);
    }
  }

  function recordCrash(end: ForwardAttemptEnd): void {
    switch (end.kind) {
      case 'unknown':
      case 'broken':
        if (place.incarnationEnded.aborted || foundClosed.signal.aborted) {
          return crashMonitor.recordEnded(fingerprint, target);
        }
        return void crashMonitor.recordLostConnection(fingerprint, target);
      case 'answered':
      case 'streamed':
        return crashMonitor.recordCompleted(fingerprint);
      case 'notRun':
      case 'timedOut':
      case 'callerGone':
        return;
      default:
        return unreachable(end);
    }
  }

  return {
    recordSilence: recordFailure,
    recordEnd: end => {
      recordTarget(end);
      if (isConnectionLost(end)) metrics.countLostAttempt(route.name);
      recordCrash(end);
    },
  };
}

/** Whether the connection to the target ended before its answer did. */
function isConnectionLost(end: ForwardAttemptEnd): boolean {
  return 'cause' in end && end.cause === 'connectionLost';
}
