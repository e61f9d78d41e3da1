import type {
  ForwardAttemptEnd,
  ForwardAttemptOutcome,
  AttemptReport,
} from '@hibiscusbeam/core';

/** A stream that is forwarded, and can be held for a while. */
export interface ForwardedStream {
  readonly hold: () => void;
  readonly release: () => void;
}

/** One attempt of a request, until it ends or another one has won. */
export interface AttemptInFlight {
  /** Aborts once another attempt has won or the request has ended. */
  readonly signal: AbortSignal;
  readonly isSilent: () => boolean;
  readonly isAlone: () => boolean;
  /** Receives the stream that the attempt forwards. */
  readonly setStream: (stream: ForwardedStream) => void;
  readonly report: (
    outcome: Exclude<ForwardAttemptOutcome, ForwardAttemptEnd>,
  ) => void;
  readonly end: (outcome: ForwardAttemptEnd) => void;
  /** Ends all other attempts; called before anything goes to the caller. */
  readonly win: () => void;
}

/** The attempts of one request, and what they report. */
export interface AttemptsInFlight {
  /** Starts an attempt; streams that still run are held until it ends. */
  readonly begin: () => AttemptInFlight;
  readonly count: () => number;
  /** Whether attempts are in flight and all of them are silent. */
  readonly areSilent: () => boolean;
  readonly hasReport: () => boolean;
  /** Resolves once there is a report. */
  readonly reported: () => Promise<void>;
  /** The next report, in the order in which they came. */
  readonly next: () => Promise<AttemptReport>;
  /** Makes `next` fail, since an attempt has failed in this process. */
  readonly fail: (error: unknown) => void;
  /** Ends all attempts. */
  readonly abort: () => void;
}

interface Attempt {
  readonly abort: AbortController;
  isSilent: boolean;
  stream: ForwardedStream | undefined;
}

interface Report {
  readonly send: Attempt;
  readonly outcome: ForwardAttemptOutcome;
}

/** Creates the tracker of the attempts of one request. */
export function createAttemptsInFlight(): AttemptsInFlight {
  const inFlight = new Set<Attempt>();
  let reports: readonly Report[] = [];
  let waiting: readonly (() => void)[] = [];
  let failure: {readonly error: unknown} | undefined;

  function wake(): void {
    const woken = waiting;
    waiting = [];
    for (const resolve of woken) resolve();
  }

  function report(attempt: Attempt, outcome: ForwardAttemptOutcome): void {
    if (attempt.abort.signal.aborted) return;
    reports = [...reports, {send: attempt, outcome}];
    wake();
  }

  function abort(attempt: Attempt): void {
    inFlight.delete(attempt);
    reports = reports.filter(report => report.send !== attempt);
    attempt.abort.abort();
  }

  function abortOthers(winner: Attempt): void {
    for (const attempt of [...inFlight]) if (attempt !== winner) abort(attempt);
  }

  /**
   * An attempt that starts alongside a running stream is meant to take it over
   * and resumes where it stands, so nothing more may be forwarded until the
   * attempt has ended.
   */
  function holdAll(): void {
    for (const other of inFlight) if (!other.isSilent) other.stream?.hold();
  }

  function releaseOthers(of: Attempt): void {
    for (const other of inFlight) if (other !== of) other.stream?.release();
  }

  function begin(): AttemptInFlight {
    holdAll();
    const attempt: Attempt = {
      abort: new AbortController(),
      isSilent: false,
      stream: undefined,
    };
    inFlight.add(attempt);
    return {
      signal: attempt.abort.signal,
      isSilent: () => attempt.isSilent,
      isAlone: () => inFlight.size === 1,
      setStream: stream => (attempt.stream = stream),
      report: outcome => {
        if (outcome.kind === 'silent') releaseOthers(attempt);
        if (outcome.kind !== 'handedOn') {
          attempt.isSilent = outcome.kind === 'silent';
        }
        report(attempt, outcome);
      },
      end: outcome => {
        if (isForCaller(outcome)) abortOthers(attempt);
        else releaseOthers(attempt);
        attempt.isSilent = false;
        report(attempt, outcome);
      },
      win: () => abortOthers(attempt),
    };
  }

  async function reported(): Promise<void> {
    if (reports.length > 0 || failure !== undefined) return;
    await new Promise<void>(resolve => (waiting = [...waiting, resolve]));
  }

  async function next(): Promise<AttemptReport> {
    for (;;) {
      await reported();
      if (failure !== undefined) throw failure.error;
      const [first, ...rest] = reports;
      if (first === undefined) continue;
      reports = rest;
      return deliver(first);
    }
  }

  function deliver({send: attempt, outcome}: Report): AttemptReport {
    if (isEnd(outcome)) inFlight.delete(attempt);
    const silent = [...inFlight].filter(({isSilent}) => isSilent).length;
    return {kind: 'sent', outcome, attemptsInFlight: inFlight.size, silent};
  }

  return {
    begin,
    count: () => inFlight.size,
    areSilent: () =>
      inFlight.size > 0 && [...inFlight].every(({isSilent}) => isSilent),
    hasReport: () => reports.length > 0 || failure !== undefined,
    reported,
    next,
    fail: error => {
      failure ??= {error};
      wake();
    },
    abort: () => [...inFlight].forEach(abort),
  };
}

/** Whether the result of an attempt goes to the caller. */
function isForCaller(outcome: ForwardAttemptEnd): boolean {
  if (outcome.kind === 'answered') return outcome.success;
  return outcome.kind === 'streamed';
}

function isEnd(outcome: ForwardAttemptOutcome): outcome is ForwardAttemptEnd {
  switch (outcome.kind) {
    case 'silent':
    case 'goesOn':
    case 'handedOn':
      return false;
    default:
      return true;
  }
}
