import {
  unreachable,
  type ForwardAttemptEnd,
  type Milliseconds,
  type MonotonicInstant,
  type Suspect,
} from '@hibiscusbeam/core';
import type {AcceptedRequest} from './request_acceptance';
import type {RequestRunOptions, TakenSlot} from './request_context';

/**
 * How long a target must run after the first event of an answer to show that no
 * part of the prompt crashes it.
 */
const SURVIVED_WRITING: Milliseconds = 250;

/** An attempt whose outcome is recorded. */
export interface RecordedAttempt {
  readonly accepted: AcceptedRequest;
  readonly place: TakenSlot;
  readonly sentAt: MonotonicInstant;
  /** Aborted once nothing listens at the target's address any more. */
  readonly foundClosed: AbortController;
}

/** Records what one attempt shows about its target. */
export interface AttemptRecorder {
  readonly recordEvent: () => void;
  readonly recordSilence: () => void;
  readonly recordEnd: (end: ForwardAttemptEnd) => void;
}

/** Creates the recorder of one attempt; it counts as one failure at most. */
export function createAttemptRecorder(
  options: RequestRunOptions,
  {accepted, place, sentAt, foundClosed}: RecordedAttempt,
): AttemptRecorder {
  const {registry, clock, crashMonitor, metrics} = options;
  const {fingerprint, promptParts, route} = accepted;
  const {target} = place;
  let hasFailed = false;
  let firstEventAt: MonotonicInstant | undefined;
  let isSurvivalRecorded = false;

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

  /** Whether the target has survived the start of the answer. */
  function hasSurvived(): boolean {
    if (firstEventAt === undefined) return false;
    return clock() - firstEventAt >= SURVIVED_WRITING;
  }

  function recordEvent(): void {
    firstEventAt ??= clock();
    if (isSurvivalRecorded || !hasSurvived()) return;
    isSurvivalRecorded = true;
    crashMonitor.recordAnswered(promptParts, firstEventAt);
  }

  function recordCrash(end: ForwardAttemptEnd): void {
    switch (end.kind) {
      case 'unknown':
      case 'broken':
        return recordLoss();
      case 'answered':
        return recordAnswer(end.success);
      case 'streamed':
        return recordAnswer(true);
      case 'notRun':
      case 'timedOut':
      case 'callerGone':
        return;
      default:
        return unreachable(end);
    }
  }

  function recordLoss(): void {
    // A request may crash a target at any point of its answer, a part of its
    // prompt only at the start.
    const suspects = hasSurvived() ? [fingerprint] : allSuspects();
    const attempt = {suspects, target, sentAt};
    if (place.incarnationEnded.aborted || foundClosed.signal.aborted) {
      return crashMonitor.recordEnded(attempt);
    }
    void crashMonitor.recordLostConnection(attempt);
  }

  /** A failure may come from a target that has not read the prompt. */
  function recordAnswer(isSuccess: boolean): void {
    const suspects = isSuccess ? allSuspects() : [fingerprint];
    crashMonitor.recordAnswered(suspects, firstEventAt ?? clock());
  }

  function allSuspects(): readonly Suspect[] {
    return [fingerprint, ...promptParts];
  }

  return {
    recordEvent,
    recordSilence: recordFailure,
    recordEnd: end => {
      // That says nothing about its target.
      if (isWithdrawn(end)) return;
      recordTarget(end);
      if (isConnectionLost(end)) metrics.countLostAttempt(route.name);
      recordCrash(end);
    },
  };
}

function isWithdrawn(end: ForwardAttemptEnd): boolean {
  return 'cause' in end && end.cause === 'withdrawn';
}

/** Whether the connection to the target ended before its answer did. */
function isConnectionLost(end: ForwardAttemptEnd): boolean {
  return 'cause' in end && end.cause === 'connectionLost';
}
