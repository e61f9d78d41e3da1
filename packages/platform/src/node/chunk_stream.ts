import type {Digest, Milliseconds, PlatformError} from '@hibiscusbeam/core';
import {Err, Ok} from 'ts-results';
import type {Result} from 'ts-results';
import {request} from 'undici';
import {responseErrorOf, transportErrorOf} from './errors';
import {baseAddress, createConnectionPool} from './http_client';

/** Chunks in transfer at once; apart from other calls, which must not wait. */
const MAX_CONNECTIONS = 16;

/**
 * Longest silence on a transfer. The caller gives up sooner, by what it has
 * learned; this only ends a transfer that the caller forgot.
 */
const MAX_SILENCE: Milliseconds = 60_000;

/** Reads chunks from the origin as their bytes come. */
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
