import {
  selectReadersToDrop,
  type Bytes,
  type MonotonicInstant,
} from '@hibiscusbeam/core';
import {every, type Clock, type Log} from '@hibiscusbeam/daemon';
import type {ClientRequest, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Interval between checks of what is buffered, while requests run. */
const CHECK_PERIOD_MS = 100;

/** Delay before a check, in which further bytes are collected. */
const CHECK_DELAY_MS = 10;

/** Who reads slowly: a caller its answer, or a target the body of a request. */
export type ReaderKind = 'caller' | 'target';

/** Options of the limit on buffered bytes. */
export interface BufferedBytesOptions {
  readonly bound: Bytes;
  readonly clock: Clock;
  readonly log: Log;
  readonly onDropped: (kind: ReaderKind) => void;
}

/** Tracks what is buffered for one request. */
export interface RequestBuffers {
  /**
   * Counts bytes of whole answers that are read; negative values release them.
   */
  readonly hold: (bytes: Bytes) => void;
  /** Schedules a check, after something was written. */
  readonly scheduleCheck: () => void;
  /** Counts what is sent to a target until its connection closes. */
  readonly trackTarget: (request: ClientRequest) => void;
  /**
   * Releases all whole answers: what is forwarded is counted in the response.
   */
  readonly releaseAnswers: () => void;
}

/** Limits what an entry buffers for callers and targets that read slowly. */
export interface BufferedBytes {
  /** Counts what is buffered for a request until its response closes. */
  readonly open: (
    response: ServerResponse,
    requestId: string | undefined,
  ) => RequestBuffers;
  /** All bytes that are buffered now. */
  readonly held: () => Bytes;
}

interface Reader {
  readonly kind: ReaderKind;
  readonly requestId: string | undefined;
  readonly held: () => Bytes;
  /**
   * Whether there is anything for the reader to take: a whole answer may still
   * be arriving.
   */
  readonly hasPending: () => boolean;
  /** Bytes that the operating system has accepted on the connection. */
  readonly taken: () => Bytes;
  readonly drop: () => void;
  takenBefore: Bytes;
  progressedAt: MonotonicInstant;
}

/**
 * Creates the limit.
 *
 * Each stream is paused at its high-water mark and whole answers are held in
 * full, so hundreds of callers that read slowly could together exceed the
 * memory of the process and end it with all its requests. Beyond the bound the
 * slowest readers are dropped, so that the others are served.
 */
export function createBufferedBytes(
  options: BufferedBytesOptions,
): BufferedBytes {
  const {bound, clock, log} = options;
  const readers = new Set<Reader>();
  let pendingCheck: NodeJS.Timeout | undefined;
  let stopChecks: (() => void) | undefined;

  function track(
    reader: Omit<Reader, 'takenBefore' | 'progressedAt'>,
    closing: ClientRequest | ServerResponse,
  ): void {
    if (closing.destroyed) return;
    const tracked = {...reader, takenBefore: 0, progressedAt: clock()};
    readers.add(tracked);
    stopChecks ??= every(CHECK_PERIOD_MS, check);
    closing.once('close', () => {
      readers.delete(tracked);
      if (readers.size > 0) return;
      stopChecks?.();
      stopChecks = undefined;
    });
  }

  function note(): void {
    pendingCheck ??= setTimeout(() => {
      pendingCheck = undefined;
      check();
    }, CHECK_DELAY_MS);
  }

  function check(): void {
    const now = clock();
    const buffered = [...readers].map(reader => {
      const held = reader.held();
      const taken = reader.taken();
      const isStalled = reader.hasPending() && taken <= reader.takenBefore;
      if (!isStalled) reader.progressedAt = now;
      reader.takenBefore = taken;
      return {reader, held, stalledFor: now - reader.progressedAt};
    });
    for (const {reader, held, stalledFor} of selectReadersToDrop(
      buffered,
      bound,
    )) {
      const {kind, requestId} = reader;
      log.warn('slow reader dropped', {
        kind,
        request: requestId,
        held,
        stalledFor: Math.round(stalledFor),
        bound,
      });
      options.onDropped(kind);
      reader.drop();
    }
  }

  return {
    open: (response, requestId) => {
      let wholeAnswerBytes = 0;
      const caller = {
        kind: 'caller',
        requestId,
        held: () => wholeAnswerBytes + response.writableLength,
        hasPending: () => response.writableLength > 0,
        taken: () => takenBy(response.socket),
        drop: () => void response.destroy(),
      } as const;
      track(caller, response);
      return {
        hold: bytes => {
          wholeAnswerBytes += bytes;
          note();
        },
        scheduleCheck: note,
        trackTarget: request =>
          track(
            {
              kind: 'target',
              requestId,
              held: () => request.writableLength,
              hasPending: () => request.writableLength > 0,
              taken: () => takenBy(request.socket),
              drop: () => void request.destroy(new Error('read too slowly')),
            },
            request,
          ),
        releaseAnswers: () => (wholeAnswerBytes = 0),
      };
    },
    held: () => [...readers].reduce((sum, {held}) => sum + held(), 0),
  };
}

/**
 * Bytes that wait in the socket count as written, though nobody has received
 * them.
 */
function takenBy(socket: Socket | null): Bytes {
  return socket === null ? 0 : socket.bytesWritten - socket.writableLength;
}
