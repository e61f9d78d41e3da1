import type {Digest, Milliseconds, PlatformError} from '@hibiscusbeam/core';
import {Err, Ok} from 'ts-results';
import type {Result} from 'ts-results';
import {request} from 'undici';
import {refusalOf, transportErrorOf} from './errors';
import {baseAddress, createConnections} from './http_client';

/** Chunks in transfer at once; apart from other calls, which must not wait. */
const CONNECTIONS = 16;

/**
 * Longest silence on a transfer. The caller gives up sooner, by what it has
 * learned; this only ends a transfer that the caller forgot.
 */
const SILENCE_LIMIT: Milliseconds = 60_000;

/** Reads chunks from the origin as their bytes come. */
export function createChunkStream(
  url: string,
): (
  digest: Digest,
  signal: AbortSignal,
) => AsyncIterable<Result<Uint8Array, PlatformError>> {
  const base = baseAddress(url);
  const dispatcher = createConnections(CONNECTIONS);

  return async function* chunk(digest, signal) {
    try {
      const response = await request(
        `${base}/weights/chunks/${encodeURIComponent(digest)}`,
        {
          dispatcher,
          signal,
          headersTimeout: SILENCE_LIMIT,
          bodyTimeout: SILENCE_LIMIT,
        },
      );
      const refusal = refusalOf(response, 'read');
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
