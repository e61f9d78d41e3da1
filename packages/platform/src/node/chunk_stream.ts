import type {Digest, Milliseconds, PlatformError} from '@hibiscusbeam/core';
import {Err, Ok} from 'ts-results';
import type {Result} from 'ts-results';
import {request} from 'undici';
import {responseErrorOf, transportErrorOf} from './errors';
import {baseAddress, createConnectionPool} from './http_client';

/**
 * Max concurrent chunk transfers. They have their own pool so that other calls
 * never wait for them.
 */
const MAX_CONNECTIONS = 16;

/**
 * Max time without a byte on a transfer. Callers abort sooner, by the transfer
 * times they observe; this only ends a transfer that its caller forgot to
 * abort.
 */
const MAX_SILENCE: Milliseconds = 60_000;

/** Streams chunks from the weight origin as their bytes arrive. */
export function createChunkStream(
  url: string,
): (
  digest: Digest,
  signal: AbortSignal,
) => AsyncIterable<Result<Uint8Array, PlatformError>> {
  const base = baseAddress(url);
  const dispatcher = createConnectionPool(MAX_CONNECTIONS);

  return async function* chunk(digest, signal) {
    try {
      const response = await request(
        `${base}/weights/chunks/${encodeURIComponent(digest)}`,
        {
          dispatcher,
          signal,
          headersTimeout: MAX_SILENCE,
          bodyTimeout: MAX_SILENCE,
        },
      );
      const refusal = responseErrorOf(response, 'read');
      if (refusal !== undefined) {
        await response.body.dump();
        yield Err(refusal);
        return;
      }
      for await (const bytes of response.body) yield Ok(bytes as Uint8Array);
    } catch (error) {
      yield Err(transportErrorOf(error, 'read'));
    }
  };
}
