import {readLinesOf, type Bytes} from '@hibiscusbeam/core';
import {Readable} from 'node:stream';
import {Err, Ok, type Result} from 'ts-results';
import * as z from 'zod';
import {monotonicClock} from '../runtime/clock';
import {
  createTargetExchange,
  parseJson,
  targetErrorOf,
  type TargetExchange,
} from './http_exchange';
import type {
  EngineClient,
  EngineFrame,
  GenerateWork,
  TargetError,
} from './types';

/**
 * Max connections to one engine: one for each running stream, with room for
 * chunks, orders and reports alongside.
 */
const MAX_CONNECTIONS = 128;

/** Max size of a line of an engine's answer. */
const MAX_LINE: Bytes = 1024 * 1024;

const reportSchema = z.object({
  life: z.string(),
  loaded: z.array(z.object({model: z.string(), versionDigest: z.string()})),
  loading: z.array(z.string()),
  running: z.number(),
  queued: z.number(),
  slots: z.number(),
  ageMilliseconds: z.number(),
});

const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number(),
      kind: z.enum(['stored', 'evicted']),
      prefix: z.number(),
    }),
  ),
  latest: z.number(),
});

const frameSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('started'),
    attempt: z.string(),
    versionDigest: z.string(),
  }),
  z.object({
    kind: z.literal('token'),
    attempt: z.string(),
    sequence: z.number(),
    text: z.string(),
  }),
  z.object({
    kind: z.literal('end'),
    attempt: z.string(),
    count: z.number(),
    versionDigest: z.string(),
  }),
]);

const JSON_HEADERS = {'content-type': 'application/json'};
const BYTES_HEADERS = {'content-type': 'application/octet-stream'};

/** Creates an HTTP client of the model engine at `url`. */
export function createEngineClient(
  url: string,
  orderGiver: string,
): EngineClient {
  const exchange = createTargetExchange(url, MAX_CONNECTIONS);
  const orderHeaders = {...JSON_HEADERS, 'x-order-giver': orderGiver};
  return {
    putChunk: async (digest, pieces) =>
      discardBody(
        await exchange.bytes({
          method: 'PUT',
          path: `/chunks/${digest}`,
          body: Readable.from(pieces),
          headers: {
            ...BYTES_HEADERS,
            'content-length': String(totalSize(pieces)),
          },
        }),
      ),
    listChunks: async () => {
      const listed = await exchange.json(
        {method: 'GET', path: '/chunks'},
        z.object({digests: z.array(z.string())}),
      );
      return listed.map(body => body.digests);
    },
    readChunk: digest =>
      exchange.bytes({method: 'GET', path: `/chunks/${digest}`}),
    deleteChunk: async digest =>
      discardBody(
        await exchange.bytes({method: 'DELETE', path: `/chunks/${digest}`}),
      ),
    order: async (order, fencing) =>
      discardBody(
        await exchange.bytes({
          method: 'POST',
          path: '/orders',
          body: JSON.stringify({order, fencing}),
          headers: orderHeaders,
        }),
      ),
    report: () =>
      exchange.json(
        {method: 'GET', path: '/report', timeout: 2_000},
        reportSchema,
      ),
    cacheEvents: after =>
      exchange.json(
        {method: 'GET', path: `/cache-events?after=${after}`, timeout: 2_000},
        cacheEventsSchema,
      ),
    generate: (work, signal) => generate(exchange, work, signal),
    cancel: async attempt =>
      discardBody(
        await exchange.bytes({
          method: 'DELETE',
          path: `/generate/${encodeURIComponent(attempt)}`,
        }),
      ),
    close: exchange.close,
  };
}

function totalSize(pieces: readonly Uint8Array[]): number {
  return pieces.reduce((size, piece) => size + piece.length, 0);
}

function discardBody(
  result: Result<Uint8Array, TargetError>,
): Result<void, TargetError> {
  return result.map(() => undefined);
}

async function* generate(
  exchange: TargetExchange,
  work: GenerateWork,
  signal: AbortSignal,
): AsyncIterable<Result<EngineFrame, TargetError>> {
  const opened = await exchange.open({
    method: 'POST',
    path: '/generate',
    body: JSON.stringify(work),
    headers: JSON_HEADERS,
    signal,
  });
  if (opened.err) {
    yield opened;
    return;
  }
  for await (const line of readLines(opened.val.body)) {
    const frame = line.andThen(text => parseJson(text, frameSchema));
    yield frame;
    if (frame.err) return;
  }
}

async function* readLines(
  body: AsyncIterable<Uint8Array>,
): AsyncIterable<Result<string, TargetError>> {
  const options = {
    maxLine: MAX_LINE,
    keepsUnterminated: false,
    clock: monotonicClock,
  };
  try {
    for await (const line of readLinesOf(body, options)) {
      if (line !== '') yield Ok(line);
    }
  } catch (error) {
    yield Err(targetErrorOf(error));
  }
}
