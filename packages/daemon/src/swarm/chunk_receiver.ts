import type {Bytes, Digest, RequestFailure} from '@hibiscusbeam/core';
import {createHash} from 'node:crypto';
import {Ok, type Result} from 'ts-results';

/** A chunk as it was received. */
export interface ReceivedChunk {
  /** The pieces as they came; together at most the chunk's size. */
  readonly pieces: readonly Uint8Array[];
  readonly verified: boolean;
}

/**
 * Reads a chunk's pieces, hashing each as it comes. Pieces are kept, not
 * copied together, so that a chunk takes its size once.
 */
export async function receiveChunk(
  source: AsyncIterable<Result<Uint8Array, RequestFailure>>,
  digest: Digest,
  size: Bytes,
  onProgress: (bytes: Bytes) => void,
): Promise<Result<ReceivedChunk, RequestFailure>> {
  const hash = createHash('sha256');
  const pieces: Uint8Array[] = [];
  let received = 0;
  for await (const piece of source) {
    if (piece.err) return piece;
    received += piece.val.length;
    // A sender that never ends would fill the memory: more bytes than the
    // manifest says are a bad chunk, and reading stops.
    if (received > size) return Ok({pieces: [], verified: false});
    hash.update(piece.val);
    pieces.push(piece.val);
    onProgress(piece.val.length);
  }
  const verified = `sha256:${hash.digest('hex')}` === digest;
  return Ok({pieces: verified ? pieces : [], verified});
}
