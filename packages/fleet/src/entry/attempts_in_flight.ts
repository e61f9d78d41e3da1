import type {
  ForwardAttemptEnd,
  ForwardAttemptOutcome,
  AttemptReport,
} from '@hibiscusbeam/core';

/** A stream that is passed on, and may be held for a while. */
export interface ForwardedStream {
  readonly hold: () => void;
  readonly release: () => void;
}

/** One send of a request, until it ends or another one has won. */
export interface AttemptInFlight {
  /** Aborts once another send has won or the request has ended. */
  readonly signal: AbortSignal;
  readonly isSilent: () => boolean;
  readonly isAlone: () => boolean;
  /** Takes the stream that the send passes on. */
  readonly setStream: (stream: ForwardedStream) => void;
  readonly report: (
    outcome: Exclude<ForwardAttemptOutcome, ForwardAttemptEnd>,
  ) => void;
  readonly end: (outcome: ForwardAttemptEnd) => void;
  /** Ends all others; called before anything goes to the caller. */
  readonly win: () => void;
}

/** The sends of one request, and what they report. */
export interface AttemptsInFlight {
  /** Begins a send; streams that still go on are held until it ends. */
  readonly begin: () => AttemptInFlight;
  readonly count: () => number;
  /** Whether sends are under way and nothing comes from any of them. */
  readonly areSilent: () => boolean;
  readonly hasReport: () => boolean;
  /** Resolves once there is a report. */
  readonly reported: () => Promise<void>;
  /** The next report, in the order in which they came. */
  readonly next: () => Promise<AttemptReport>;
  /** Makes `next` fail, since a send has failed in this process. */
  readonly fail: (error: unknown) => void;
  /** Ends all sends. */
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

/** Creates the bookkeeping of the sends of one request. */
export function createAttemptsInFlight(): AttemptsInFlight {
  const underWay = new Set<Attempt>();
  let reports: readonly Report[] = [];
  let waiting: readonly (() => void)[] = [];
  let failure: {readonly error: unknown} | undefined;

  function wake(): void {
    const woken = waiting;
    waiting = [];
    for (const resolve of woken) resolve();
  }

  function report(send: Attempt, outcome: ForwardAttemptOutcome): void {
    if (send.abort.signal.aborted) return;
    reports = [...reports, {send, outcome}];
    wake();
  }

  function abort(send: Attempt): void {
    underWay.delete(send);
    reports = reports.filter(report => report.send !== send);
    send.abort.abort();
  }

  function abortOthers(winner: Attempt): void {
    for (const send of [...underWay]) if (send !== winner) abort(send);
  }

  /**
   * Streams go on beside a send only if it was to take them over: it goes on
   * where they stand, so nothing more may be passed on until it has ended.
   */
  function holdAll(): void {
    for (const send of underWay) if (!send.isSilent) send.stream?.hold();
  }

  function releaseOthers(of: Attempt): void {
    for (const send of underWay) if (send !== of) send.stream?.release();
  }

  function begin(): AttemptInFlight {
    holdAll();
    const send: Attempt = {
      abort: new AbortController(),
      isSilent: false,
      stream: undefined,
    };
    underWay.add(send);
    return {
      signal: send.abort.signal,
      isSilent: () => send.isSilent,
      isAlone: () => underWay.size === 1,
      setStream: stream => (send.stream = stream),
      report: outcome => {
        if (outcome.kind === 'silent') releaseOthers(send);
        if (outcome.kind !== 'handedOn') {
          send.isSilent = outcome.kind === 'silent';
        }
        report(send, outcome);
      },
      end: outcome => {
        if (isForCaller(outcome)) abortOthers(send);
        else releaseOthers(send);
        send.isSilent = false;
        report(send, outcome);
      },
      win: () => abortOthers(send),
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

  function deliver({send, outcome}: Report): AttemptReport {
    if (isEnd(outcome)) underWay.delete(send);
    const silent = [...underWay].filter(({isSilent}) => isSilent).length;
    return {kind: 'sent', outcome, attemptsInFlight: underWay.size, silent};
  }

  return {
    begin,
    count: () => underWay.size,
    areSilent: () =>
      underWay.size > 0 && [...underWay].every(({isSilent}) => isSilent),
    hasReport: () => reports.length > 0 || failure !== undefined,
    reported,
    next,
    fail: error => {
      failure ??= {error};
      wake();
    },
    abort: () => [...underWay].forEach(abort),
  };
}

/** Whether the caller is given what a send has brought. */
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
