import type {AnsweredHere, ForwardedEnd, RequestEnd} from './request_end';

/** Describes in a sentence why a request ended. */
export function causeText(end: RequestEnd): string {
  switch (end.kind) {
    case 'answeredHere':
      return answeredText(end);
    case 'forwarded':
      return forwardedText(end);
  }
}

/** Short name of the cause, by which requests are counted. */
export function causeName(end: RequestEnd): string {
  if (end.kind === 'answeredHere') return `${end.status} ${end.reason}`;
  const detail = end.reason ?? end.cause;
  return detail === undefined ? end.result : `${end.result} ${detail}`;
}

function answeredText({status, reason, confirmationAge}: AnsweredHere): string {
  switch (reason) {
    case 'staleConfiguration':
      return `Not run: the entry had no word from the store for ${confirmationAge ?? 'an unknown number of'} ms, and may not go by routes and keys that old.`;
    case 'noConfiguration':
      return 'Not run: the entry had read no configuration yet.';
    case 'starting':
      return 'Not run: the entry had not read the quarantine yet.';
    case 'leaving':
      return 'Not run: the entry was about to stop.';
    case 'unknown key':
      return 'Refused: the configuration in force has no such key.';
    case 'no route':
      return 'Refused: the configuration in force has no route for its host and path.';
    default:
      return `Answered ${status} by the entry itself: ${reason}.`;
  }
}

function forwardedText(end: ForwardedEnd): string {
  const attemptCount = end.attempts.length;
  switch (end.result) {
    case 'passOn':
    case 'streamed':
      return attemptCount > 1
        ? `Answered whole, at attempt ${attemptCount}.`
        : 'Answered whole.';
    case 'notRun':
      return notRunText(end);
    case 'unknown':
      return `May have run: ${lossText(end.cause)} before an answer, and it may not or could not be sent again.`;
    case 'cut':
      return `The stream broke after event ${end.lastEvent ?? 'none'}: ${lossText(end.cause)}, and it could not go on elsewhere.`;
    case 'timedOut':
      return `Ended after ${end.took} ms: the route's time or the caller's patience was up.`;
    case 'callerGone':
      return `The caller left after ${end.took} ms.`;
    default:
      return `Ended as ${end.result}.`;
  }
}

function notRunText({reason, took, attempts}: ForwardedEnd): string {
  const afterAttempts =
    attempts.length === 0 ? '' : ` after ${attempts.length} attempt(s)`;
  switch (reason) {
    case 'allFull':
      return `Not run: no target had room within ${took} ms${afterAttempts}; the caller was told when to come back.`;
    case 'noTarget':
      return `Not run${afterAttempts}: no listed target of the service may take it (leaving, tried already, or with an older version than may start).`;
    case 'targetsLeaving':
      return `Not run${afterAttempts}: all targets of the service leave, by the list or by their own answers.`;
    case 'noAllowedRegion':
      return `Not run${afterAttempts}: its route and its workspace allow no region in common.`;
    case 'targetsEvacuated':
      return `Not run${afterAttempts}: all targets of the service that stay were in zones that the operator had evacuated.`;
    case 'targetsBackingOff':
      return `Not run${afterAttempts}: all targets of the service that stay had asked this entry to back off; the caller was told when the first of them takes requests again.`;
    case 'outdatedTargets':
      return `Not run${afterAttempts}: the entry's list of targets was older than the draining bound, so that any of them may have left.`;
    case 'notConnected':
    case 'connectionRefused':
      return `Not run${afterAttempts}: no target that it was sent to took a connection.`;
    case 'quarantined':
      return `Not run${afterAttempts}: three targets or more have ended under this request or under a part of its prompt, so that it is sent to no other one.`;
    default:
      return `Not run${afterAttempts}: ${reason ?? 'no reason logged'}.`;
  }
}

function lossText(cause: string | undefined): string {
  switch (cause) {
    case 'connectionLost':
      return 'the connection to the target was lost';
    case 'silence':
      return 'the target fell silent';
    case 'foreignAnswer':
      return 'the target sent what belongs to another request, or events out of order';
    case 'malformedAnswer':
      return 'the target sent no answer that counts';
    case 'withdrawn':
      return "it had not begun at the bound of its target's version";
    case 'timedOut':
      return 'its time was up';
    default:
      return cause ?? 'for a cause that was not logged';
  }
}
