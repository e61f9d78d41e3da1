import {
  createEventSplitter,
  createFragmentLimit,
  type Bytes,
  type ForwardAttemptEnd,
  type MonotonicInstant,
  type StreamEvent,
  type UnknownCause,
} from '@hibiscusbeam/core';
import {guardCallback} from '@hibiscusbeam/daemon';
import type {ServerResponse} from 'node:http';
import type {RequestProtocol} from '../ports';
import {endWithConnection} from './answer_framing';
import type {RequestBuffers} from './buffered_bytes';
import type {IncomingAnswer} from './exchange';
import type {ForwardedStream} from './attempts_in_flight';
import type {SilenceMonitor} from './silence_monitor';

/**
 * Maximum size of an event, as of whole answers. A target in trouble may send
 * bytes without end.
 */
const MAX_EVENT_BYTES: Bytes = 8 * 1024 * 1024;

/**
 * Maximum size and number of the events without an id, such as comments, between
 * two that have one. Each event costs time, however small it is.
 */
const MAX_UNNUMBERED_BYTES: Bytes = 256 * 1024;
const MAX_UNNUMBERED_EVENTS = 4_096;

/** What has reached the caller of one stream, over all attempts. */
export interface StreamProgress {
  begun: boolean;
  lastEventId: string | undefined;
  /** When the first event was forwarded. */
  begunAt: MonotonicInstant | undefined;
}

/** Options of forwarding one stream. */
export interface StreamRelayOptions {
  readonly answer: IncomingAnswer;
  readonly response: ServerResponse;
  readonly buffers: Pick<RequestBuffers, 'scheduleCheck' | 'hold'>;
  readonly protocol: RequestProtocol;
  readonly progress: StreamProgress;
  /** Records the target's bytes; paused while none are read. */
  readonly silence: SilenceMonitor;
  /** Aborts when nothing more may be forwarded. */
  readonly signal: AbortSignal;
  /** Receives the stream, so that it can be held. */
  readonly onStream: (stream: ForwardedStream) => void;
  /** Called before anything is forwarded. */
  readonly onForward: () => void;
  /** Whether an answer that ended with its connection may be complete. */
  readonly confirmEnd: () => Promise<boolean>;
  readonly now: () => MonotonicInstant;
  /** Header lines that the entry adds for the caller. */
  readonly ownLines: () => readonly string[];
  /** Called for each event of this target. */
  readonly onEvent: () => void;
  /** Called when the first event of all attempts has arrived. */
  readonly onFirstEvent: () => void;
  /** Called with an error that handling what the target sent has thrown. */
  readonly onError: (error: unknown) => void;
}

/**
 * Forwards a target's events as they arrive, only whole ones.
 *
 * If a target stops in the middle of an event and another target resumes the
 * stream, the caller would see half an event run into the next. So bytes are
 * buffered until their event is complete.
 */
export function relayStream(
  options: StreamRelayOptions,
): Promise<ForwardAttemptEnd> {
  const {answer, response, progress} = options;
  const {body} = answer;
  const splitter = createEventSplitter();
  const fragments = createFragmentLimit(options.now);
  let hasEnded = false;
  let hasEvents = false;
  /** Events without an id since the last one with an id. */
  let unnumberedBytes: Bytes = 0;
  let unnumberedEvents = 0;
  let heldMemory: Bytes = 0;

  /** Nothing is sent before the first write. */
  function begin(): void {
    if (progress.begun) return;
    const lines = [
      ...options.protocol.writeAnswer(answer.lines),
      ...options.ownLines(),
    ];
    if (!answer.isFramed) endWithConnection(response);
    response.writeHead(answer.status, lines);
    progress.begun = true;
    progress.begunAt = options.now();
    options.onFirstEvent();
  }

  /** Counts an unfinished event as buffered. */
  function holdPending(memory: Bytes): void {
    if (memory === heldMemory) return;
    options.buffers.hold(memory - heldMemory);
    heldMemory = memory;
  }

  function countUnnumbered({id, bytes}: StreamEvent): void {
    const isUnnumbered = id === undefined;
    unnumberedBytes = isUnnumbered ? unnumberedBytes + bytes.length : 0;
    unnumberedEvents = isUnnumbered ? unnumberedEvents + 1 : 0;
  }

  /** A stream without any ids is only limited by its caller's deadline. */
  function isEndless(): boolean {
    if (progress.lastEventId === undefined) return false;
    return (
      unnumberedBytes > MAX_UNNUMBERED_BYTES ||
      unnumberedEvents > MAX_UNNUMBERED_EVENTS
    );
  }

  return new Promise(resolve => {
    const broken = (cause: UnknownCause) => {
      body.destroy();
      holdPending(0);
      const {lastEventId} = progress;
      resolve(
        progress.begun
          ? {kind: 'broken', cause, lastEventId}
          : {kind: 'unknown', cause},
      );
    };
    const fail = (error: unknown): void => {
      options.onError(error);
      broken('malformedAnswer');
    };
    const reading = createBodyReader(options);
    options.onStream(reading);
    const relay = (bytes: Buffer): void => {
      if (options.signal.aborted) return;
      options.silence.recordBytes();
      if (fragments.isExceededBy(bytes.length)) {
        return broken('malformedAnswer');
      }
      for (const event of splitter.push(bytes)) {
        if (fragments.isExceededBy(event.bytes.length)) {
          return broken('malformedAnswer');
        }
        if (!mayFollow(progress.lastEventId, event.id)) {
          broken('foreignAnswer');
          return;
        }
        countUnnumbered(event);
        if (isEndless()) return broken('malformedAnswer');
        begin();
        options.onForward();
        hasEvents = true;
        options.onEvent();
        progress.lastEventId = event.id ?? progress.lastEventId;
        if (response.write(event.bytes)) continue;
        options.buffers.scheduleCheck();
        reading.awaitCaller();
      }
      holdPending(splitter.pendingMemory());
      if (splitter.pendingBytes() > MAX_EVENT_BYTES) broken('malformedAnswer');
    };
    const complete = (): void => {
      if (options.signal.aborted) return broken('connectionLost');
      begin();
      options.onForward();
      // An answer without framing can't confirm that a stream is complete whose
      // response to the caller was begun with chunked encoding.
      if (!answer.isFramed && response.chunkedEncoding) {
        return broken('connectionLost');
      }
      resolve({kind: 'streamed'});
    };
    const end = (): void => {
      hasEnded = true;
      const isWhole = answer.isWhole() && splitter.pendingBytes() === 0;
      if (!isWhole) return broken('connectionLost');
      if (answer.isFramed) return complete();
      if (!hasEvents) return broken('connectionLost');
      options
        .confirmEnd()
        .then(isConfirmed =>
          isConfirmed ? complete() : broken('connectionLost'),
        )
        .catch(fail);
    };
    body.on('data', guardCallback(fail, relay));
    body.on('end', guardCallback(fail, end));
    const cut = (): void => {
      if (!hasEnded) broken('connectionLost');
    };
    body.on('error', cut);
    body.on('close', cut);
  });
}

/**
 * Reads the target's body unless the stream is held or its caller's buffer is
 * full.
 */
function createBodyReader({answer, response, silence}: StreamRelayOptions) {
  let isHeld = false;
  let isCallerFull = false;

  function update(): void {
    if (isHeld || isCallerFull) {
      answer.body.pause();
      silence.pause();
    } else {
      silence.resume();
      answer.body.resume();
    }
  }

  function setHeld(next: boolean): void {
    if (isHeld === next) return;
    isHeld = next;
    update();
  }

  function setCallerFull(next: boolean): void {
    isCallerFull = next;
    update();
  }

  return {
    hold: () => setHeld(true),
    release: () => setHeld(false),
    /** Pauses reading until the caller has taken what was forwarded. */
    awaitCaller: () => {
      if (isCallerFull || response.destroyed) return;
      setCallerFull(true);
      response.once('drain', () => setCallerFull(false));
    },
  };
}

/**
 * Whether an event may follow the last one: numeric ids increase by one, others
 * are not checked.
 */
function mayFollow(
  last: string | undefined,
  next: string | undefined,
): boolean {
  if (last === undefined || next === undefined) return true;
  const before = Number(last);
  const after = Number(next);
  if (!Number.isInteger(before) || !Number.isInteger(after)) return true;
  return after === before + 1;
}
