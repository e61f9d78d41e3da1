import type {
  ForwardAttemptOutcome,
  ListedTarget,
  Milliseconds,
  MonotonicInstant,
  Route,
} from '@hibiscusbeam/core';
import type {ServerResponse} from 'node:http';
import type {AnswerHeader, HeaderLines, RequestProtocol} from '../ports';
import {openExchange, type IncomingAnswer} from './exchange';
import {relayStream, type StreamProgress} from './stream_relay';

/** Largest answer that is held whole before it is passed on, in bytes. */
const LARGEST_WHOLE_ANSWER = 8 * 1024 * 1024;

/** A whole answer of a target, ready to be passed on. */
export interface WholeAnswer {
  readonly status: number;
  readonly lines: HeaderLines;
  readonly body: Buffer;
  readonly isFramed: boolean;
}

/** What one attempt at a target needs. */
export interface AttemptOptions {
  readonly route: Route;
  readonly requestId: string | undefined;
  readonly target: ListedTarget;
  readonly method: string;
  readonly path: string;
  readonly lines: readonly string[];
  readonly body: Buffer;
  readonly protocol: RequestProtocol;
  readonly response: ServerResponse;
  readonly progress: StreamProgress;
  readonly now: () => MonotonicInstant;
  readonly ownLines: () => readonly string[];
  /** Longest wait for the beginning of an answer, and between its events. */
  readonly longestSilence: Milliseconds;
  /** Is told of a silence, and how late the loop of this process noticed it. */
  readonly onSilence: (noticedLateBy: Milliseconds) => void;
  /** Whether the target may still be sent the request. */
  readonly mayBegin: () => boolean;
  /** Aborts when the stream is to go on at another target. */
  readonly handOn: AbortSignal;
  /** Aborts at the deadline and when the caller has gone. */
  readonly signal: AbortSignal;
  /** Is told of the header of an answer to this request. */
  readonly onHeader: (header: AnswerHeader) => void;
  /** Is told of each event that this target has sent. */
  readonly onEvent: () => void;
  /** Is told when the first event of all attempts has come. */
  readonly onFirstEvent: () => void;
  /** Takes a whole answer that may be passed on. */
  readonly keepAnswer: (answer: WholeAnswer) => void;
  /** Takes the reason of a failure, for the log. */
  readonly explain: (detail: string) => void;
}

/** Sends a request to a target once; says how that ended. */
export async function attempt(
  options: AttemptOptions,
): Promise<ForwardAttemptOutcome> {
  const exchange = openExchange(
    {...options, address: options.target.address},
    options.protocol,
  );
  const abort = (): void => exchange.abort();
  options.signal.addEventListener('abort', abort, {once: true});
  let silent = false;
  const silentAt = options.now() + options.longestSilence;
  const silence = setTimeout(() => {
    silent = true;
    options.onSilence(options.now() - silentAt);
    exchange.abort();
  }, options.longestSilence);
  try {
    const received = await exchange.answer;
    clearTimeout(silence);
    if (received.err) {
      const failure = received.val;
      options.explain(failure.detail);
      switch (failure.kind) {
        case 'notConnected':
        case 'outdated':
          return {kind: 'notRun', cause: failure.kind};
        case 'unknown':
          return {kind: 'unknown', cause: silent ? 'silence' : failure.cause};
      }
    }
    return await takeAnswer(received.val, options);
  } finally {
    clearTimeout(silence);
    options.signal.removeEventListener('abort', abort);
    exchange.abort();
  }
}

async function takeAnswer(
  answer: IncomingAnswer,
  options: AttemptOptions,
): Promise<ForwardAttemptOutcome> {
  const {header, status} = answer;
  // Failure: a target sends an answer that belongs to another request, and the
  // caller is given a stranger's data. The id that the target repeats tells.
  if (header.requestId !== options.requestId) {
    options.explain(`answer to ${header.requestId ?? 'no request'}`);
    return {kind: 'unknown', cause: 'foreignAnswer'};
  }
  options.onHeader(header);
  if (header.misdirected) return {kind: 'notRun', cause: 'misdirected'};
  if (header.notRun) return {kind: 'notRun', cause: 'refusedByTarget'};
  const success = status >= 200 && status < 300;
  if (success && !header.sealed) {
    options.explain('success without the seal of its target');
    return {kind: 'unknown', cause: 'malformedAnswer'};
  }
  if (success && options.route.kind === 'stream') {
    return relayStream({...options, answer});
  }
  const body = await readWhole(answer);
  if (body === undefined) {
    options.explain('answer was cut');
    return {kind: 'unknown', cause: 'connectionLost'};
  }
  const {lines, isFramed} = answer;
  options.keepAnswer({status, lines, body, isFramed});
  return {kind: 'answered', success};
}

/** The whole body; undefined if it was cut or is too large. */
function readWhole({
  body,
  isWhole,
}: IncomingAnswer): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const parts: Buffer[] = [];
    let size = 0;
    body.on('data', (part: Buffer) => {
      size += part.length;
      parts.push(part);
      if (size > LARGEST_WHOLE_ANSWER) body.destroy();
    });
    body.on('end', () => resolve(isWhole() ? Buffer.concat(parts) : undefined));
    body.on('error', () => resolve(undefined));
    body.on('close', () => resolve(undefined));
  });
}
