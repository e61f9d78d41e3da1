import {
  createReceivedBytes,
  describeReceivingFault,
  type Bytes,
  type ForwardAttemptEnd,
  type ListedTarget,
  type Milliseconds,
  type MonotonicInstant,
  type Route,
} from '@hibiscusbeam/core';
import {guardCallback} from '@hibiscusbeam/daemon';
import type {ServerResponse} from 'node:http';
import type {AnswerHeader, HeaderLines, RequestProtocol} from '../ports';
import type {RequestBuffers} from './buffered_bytes';
import type {RequestBody} from './request_body';
import {
  openExchange,
  type ExchangeFailure,
  type IncomingAnswer,
} from './exchange';
import type {ForwardedStream} from './attempts_in_flight';
import {startSilenceMonitor, type SilenceMonitor} from './silence_monitor';
import {relayStream, type StreamProgress} from './stream_relay';

/** Maximum size of an answer that is buffered before it is forwarded. */
const MAX_WHOLE_ANSWER_BYTES: Bytes = 8 * 1024 * 1024;

/** A complete answer of a target, ready to be forwarded. */
export interface WholeAnswer {
  readonly status: number;
  readonly lines: HeaderLines;
  readonly body: Buffer;
  readonly isFramed: boolean;
}

/** Options of one attempt at a target. */
export interface AttemptOptions {
  readonly route: Route;
  readonly requestId: string | undefined;
  readonly target: ListedTarget;
  readonly method: string;
  readonly path: string;
  readonly lines: readonly string[];
  readonly body: RequestBody;
  readonly protocol: RequestProtocol;
  readonly response: ServerResponse;
  readonly buffers: RequestBuffers;
  readonly progress: StreamProgress;
  readonly now: () => MonotonicInstant;
  readonly ownLines: () => readonly string[];
  /** Maximum time without a byte before the target is suspected. */
  readonly maxSilence: Milliseconds;
  /**
   * Called when the target is silent, with how late the event loop detected it.
   */
  readonly onSilence: (detectionDelay: Milliseconds) => void;
  /** Called when bytes arrive again after a silence. */
  readonly onResumed: () => void;
  /** Whether the target may still be sent the request. */
  readonly mayBegin: () => boolean;
  /** Receives the stream once it is forwarded. */
  readonly onStream: (stream: ForwardedStream) => void;
  /** Called before anything of this attempt goes to the caller. */
  readonly onForward: () => void;
  /**
   * Aborts when the result of this attempt is no longer needed or can't come
   * any more.
   */
  readonly signal: AbortSignal;
  /** Called with the header of an answer to this request. */
  readonly onHeader: (header: AnswerHeader) => void;
  /** Called when an answer begins after which the request has run. */
  readonly onAnswer: () => void;
  /** Called for each event of this target. */
  readonly onEvent: () => void;
  /** Called when the first event of all attempts has arrived. */
  readonly onFirstEvent: () => void;
  /**
   * Whether an answer that ended with its connection may be complete: a target
   * that crashes closes its connections in the same way.
   */
  readonly confirmEnd: () => Promise<boolean>;
  /** Receives a complete answer that may be forwarded. */
  readonly keepAnswer: (answer: WholeAnswer) => void;
  /** Receives the reason of a failure, for the log. */
  readonly explain: (detail: string) => void;
  /** Called with an error that handling what the target sent has thrown. */
  readonly onError: (error: unknown) => void;
}

/** Sends a request to a target once; resolves to how that ended. */
export async function runAttempt(
  options: AttemptOptions,
): Promise<ForwardAttemptEnd> {
  const exchange = openExchange(
    {...options, address: options.target.address},
    options.protocol,
  );
  const abort = (): void => exchange.abort();
  options.signal.addEventListener('abort', abort, {once: true});
  if (options.signal.aborted) abort();
  const silence = startSilenceMonitor(options);
  try {
    const received = await exchange.answer;
    if (received.err) return failed(received.val, options);
    silence.recordBytes();
    return await takeAnswer(received.val, {...options, silence});
  } catch (error) {
    options.onError(error);
    return {kind: 'unknown', cause: 'malformedAnswer'};
  } finally {
    silence.stop();
    options.signal.removeEventListener('abort', abort);
    exchange.abort();
  }
}

function failed(
  failure: ExchangeFailure,
  options: AttemptOptions,
): ForwardAttemptEnd {
  options.explain(failure.detail);
  switch (failure.kind) {
    case 'notConnected':
    case 'connectionRefused':
    case 'outdated':
      return {kind: 'notRun', cause: failure.kind};
    case 'unknown':
      return {kind: 'unknown', cause: failure.cause};
  }
}

async function takeAnswer(
  answer: IncomingAnswer,
  options: AttemptOptions & {readonly silence: SilenceMonitor},
): Promise<ForwardAttemptEnd> {
  const {header, status} = answer;
  // A target may send the answer to another request, and the caller would be
  // given someone else's data. The request id that targets echo shows that.
  if (header.requestId !== options.requestId) {
    options.explain(`answer to ${header.requestId ?? 'no request'}`);
    return {kind: 'unknown', cause: 'foreignAnswer'};
  }
  options.onHeader(header);
  if (header.misdirected) return {kind: 'notRun', cause: 'misdirected'};
  if (header.notRun) return {kind: 'notRun', cause: 'refusedByTarget'};
  options.onAnswer();
  const success = status >= 200 && status < 300;
  if (success && !header.sealed) {
    options.explain('success without the seal of its target');
    return {kind: 'unknown', cause: 'malformedAnswer'};
  }
  if (success && options.route.kind === 'stream') {
    return relayStream({...options, answer});
  }
  const reading = await readWhole(answer, options);
  if (reading.kind === 'cut') {
    options.explain('answer was cut off');
    return {kind: 'unknown', cause: 'connectionLost'};
  }
  if (reading.kind === 'refused') {
    options.explain(reading.detail);
    return {kind: 'unknown', cause: 'malformedAnswer'};
  }
  const {lines, isFramed} = answer;
  if (!isFramed && !(await options.confirmEnd())) {
    options.explain('target ended with its answer');
    return {kind: 'unknown', cause: 'connectionLost'};
  }
  options.keepAnswer({status, lines, body: reading.body, isFramed});
  return {kind: 'answered', success};
}

/** Result of reading a whole body. */
type WholeReading =
  | {readonly kind: 'whole'; readonly body: Buffer}
  /** The target has ended it, or its connection, before its end. */
  | {readonly kind: 'cut'}
  | {readonly kind: 'refused'; readonly detail: string};

function readWhole(
  {body, isWhole}: IncomingAnswer,
  {
    silence,
    buffers,
    now,
    onError,
  }: Pick<AttemptOptions, 'buffers' | 'now' | 'onError'> & {
    readonly silence: SilenceMonitor;
  },
): Promise<WholeReading> {
  return new Promise(resolve => {
    const received = createReceivedBytes({
      maxBytes: MAX_WHOLE_ANSWER_BYTES,
      clock: now,
    });
    const guardedAdd = guardCallback(fail, add);
    let held: Bytes = 0;
    let hasStopped = false;

    function hold(memory: Bytes): void {
      if (memory === held) return;
      buffers.hold(memory - held);
      held = memory;
    }

    function stop(reading: WholeReading): void {
      if (hasStopped) return;
      hasStopped = true;
      body.off('data', guardedAdd);
      if (reading.kind !== 'whole') hold(0);
      resolve(reading);
    }

    function add(part: Buffer): void {
      silence.recordBytes();
      const fault = received.add(part);
      hold(received.memory());
      if (fault !== undefined) refuse(describeReceivingFault(fault));
    }

    function refuse(detail: string): void {
      stop({kind: 'refused', detail});
      body.destroy();
    }

    function cut(): void {
      stop({kind: 'cut'});
    }

    function end(): void {
      if (!isWhole()) return cut();
      stop({kind: 'whole', body: received.join()});
    }

    function fail(error: unknown): void {
      onError(error);
      refuse(String(error));
    }

    body.on('data', guardedAdd);
    body.on('end', guardCallback(fail, end));
    body.on('error', cut);
    body.on('close', cut);
  });
}
