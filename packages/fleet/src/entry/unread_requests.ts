import {
  isFragment,
  type Bytes,
  type Milliseconds,
  type MonotonicInstant,
} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {destroyWithParser} from '../runtime/request_parser';
import {
  sendLocalAnswer,
  writeLocalAnswer,
  type LocalAnswer,
} from './local_answers';

/** Header line with which the caller sends nothing more on the connection. */
const CLOSE: readonly string[] = ['Connection', 'close'];

/** Time in which the rest of a refused request has to arrive. */
const REST_TIMEOUT: Milliseconds = 3_000;

/** Maximum number of fragments in which it may come. */
const MAX_REST_FRAGMENTS = 1_000;

/** How a refusal ends if a part of the request is unread. */
export type UnreadRest =
  /** The rest is read, up to a number of bytes. */
  | {readonly kind: 'discard'; readonly maxBytes: Bytes}
  /** The caller waits for the answer before it sends the rest, if at all. */
  | {readonly kind: 'unsent'}
  /** The connection closes at once, whether the answer arrives or not. */
  | {readonly kind: 'cut'};

/** Refuses requests that may not have been read to their end. */
export interface UnreadRequests {
  readonly refuse: (
    request: IncomingMessage,
    response: ServerResponse,
    answer: LocalAnswer,
    ownLines: readonly string[],
    rest: UnreadRest,
  ) => void;
  /** For how long a rest has been awaited; undefined if none is. */
  readonly longestWait: () => Milliseconds | undefined;
  /** Closes the connection whose rest has been awaited for the longest time. */
  readonly closeLongest: () => void;
}

/**
 * Creates the refusals. Closing a connection with bytes unread resets it, and
 * the caller may lose the answer, so the rest is read within bounds.
 */
export function createUnreadRequests(clock: Clock): UnreadRequests {
  /** In the order of their refusals. */
  const awaited = new Map<Socket, MonotonicInstant>();

  function discardRest(
    request: IncomingMessage,
    response: ServerResponse,
    maxBytes: Bytes,
  ): void {
    const {socket} = request;
    let bytes: Bytes = 0;
    let fragments = 0;
    // The end may already wait in the socket.
    const timer = setTimeout(() => setImmediate(cutUnlessEnded), REST_TIMEOUT);
    const cutUnlessEnded = (): void => {
      if (!request.complete) socket.destroy();
    };
    awaited.set(socket, clock());
    request.on('data', (part: Buffer) => {
      bytes += part.length;
      if (isFragment(part.length)) fragments += 1;
      if (bytes > maxBytes || fragments > MAX_REST_FRAGMENTS) socket.destroy();
    });
    request.once('end', () => response.end());
    request.once('error', () => undefined);
    response.once('close', () => {
      clearTimeout(timer);
      awaited.delete(socket);
    });
    request.resume();
  }

  return {
    refuse: (request, response, answer, ownLines, rest) => {
      if (response.destroyed) return;
      if (request.complete) {
        writeLocalAnswer(response, answer, ownLines);
        return;
      }
      switch (rest.kind) {
        case 'discard':
          sendLocalAnswer(response, answer, ownLines);
          discardRest(request, response, rest.maxBytes);
          return;
        case 'unsent':
          writeLocalAnswer(response, answer, CLOSE);
          return;
        case 'cut':
          writeLocalAnswer(response, answer, CLOSE);
          destroyWithParser(request.socket);
          return;
      }
    },
    longestWait: () => {
      for (const since of awaited.values()) return clock() - since;
      return undefined;
    },
    closeLongest: () => {
      for (const socket of awaited.keys()) return destroyWithParser(socket);
    },
  };
}
