import {
  createByteBlocks,
  type ByteBlocks,
  type Bytes,
  type MonotonicInstant,
} from '@hibiscusbeam/core';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {IncomingRefusal, IncomingRequests} from './incoming_requests';

/** The body of a request, in memory while it may have to be sent again. */
export interface RequestBody {
  readonly length: Bytes;
  /** Its bytes in order; undefined after the release. */
  readonly blocks: () => readonly Buffer[] | undefined;
  readonly release: () => void;
}

/** Result of reading a body. */
export type BodyReading =
  | {readonly kind: 'whole'; readonly body: RequestBody}
  /** Nothing of it is kept, and the rest is still to be read. */
  | {readonly kind: 'refused'; readonly reason: IncomingRefusal | 'tooLarge'}
  /** The connection has closed. */
  | {readonly kind: 'gone'};

/** Options of reading a body. */
export interface BodyReadingOptions {
  readonly maxLength: Bytes;
  /** Until when it has to arrive. */
  readonly deadline: MonotonicInstant;
  readonly incoming: IncomingRequests;
}

/** Memory of a request that runs, apart from what its caller sends. */
const REQUEST_OVERHEAD: Bytes = 32 * 1_024;

/** Memory of a name or a value in a header, apart from its characters. */
const HEADER_TEXT_OVERHEAD: Bytes = 64;

/**
 * Reads the whole body into memory: bodies are small and may have to be sent
 * again. The memory counts until the response closes, or the body is released.
 */
export function readBody(
  request: IncomingMessage,
  response: ServerResponse,
  {maxLength, deadline, incoming}: BodyReadingOptions,
): Promise<BodyReading> {
  return new Promise(resolve => {
    let blocks: ByteBlocks | undefined = createByteBlocks();
    request.on('data', add);
    request.on('end', finish);
    request.on('close', leave);
    request.on('error', leave);
    const tracked = incoming.open({
      overhead: overheadOf(request),
      deadline,
      refuse: reason => stop({kind: 'refused', reason}),
    });
    response.once('close', tracked.close);

    function stop(reading: BodyReading): void {
      blocks = undefined;
      request.off('data', add);
      request.off('end', finish);
      request.off('close', leave);
      resolve(reading);
    }

    function add(part: Buffer): void {
      if (blocks === undefined) return;
      if (blocks.length() + part.length <= maxLength) {
        tracked.recordPart(part.length, blocks.add(part));
        return;
      }
      tracked.complete();
      tracked.releaseBody();
      stop({kind: 'refused', reason: 'tooLarge'});
    }

    function finish(): void {
      if (blocks === undefined) return;
      tracked.complete();
      const length = blocks.length();
      let kept: readonly Buffer[] | undefined = blocks.take();
      const release = (): void => {
        kept = undefined;
        tracked.releaseBody();
      };
      stop({kind: 'whole', body: {length, blocks: () => kept, release}});
    }

    function leave(): void {
      stop({kind: 'gone'});
    }
  });
}

function overheadOf({rawHeaders, url = ''}: IncomingMessage): Bytes {
  const characters = rawHeaders.reduce(
    (sum, text) => sum + text.length,
    url.length,
  );
  const texts = rawHeaders.length * HEADER_TEXT_OVERHEAD;
  return REQUEST_OVERHEAD + texts + characters;
}

/** The length that the caller has announced, if it is a number. */
export function announcedLength({headers}: IncomingMessage): Bytes {
  return Number(headers['content-length'] ?? 0);
}

/** Adds a Content-Length for the body as it is forwarded. */
export function withContentLength(
  lines: readonly string[],
  method: string | undefined,
  {length}: Pick<RequestBody, 'length'>,
): readonly string[] {
  const bodyless = method === 'GET' || method === 'HEAD';
  if (bodyless && length === 0) return lines;
  return [...lines, 'Content-Length', String(length)];
}
