import {
  createByteBlocks,
  type Bytes,
  type Digest,
  type RequestFailure,
} from '@hibiscusbeam/core';
import {createHash} from 'node:crypto';
import {Ok, type Result} from 'ts-results';

/** A received chunk. */
export interface ReceivedChunk {
  /** Pieces in order, at most the chunk's size in total; none if unverified. */
  readonly pieces: readonly Uint8Array[];
  readonly verified: boolean;
}

/**
 * Reads a chunk's pieces and hashes each as it arrives. The pieces are not
 * concatenated, so that a chunk occupies its size in memory only once, but small
 * ones are collected in larger ones.
 */
export async function receiveChunk(
  source: AsyncIterable<Result<Uint8Array, RequestFailure>>,
  digest: Digest,
  size: Bytes,
  onProgress: (bytes: Bytes) => void,
): Promise<Result<ReceivedChunk, RequestFailure>> {
  const hash = createHash('sha256');
  const blocks = createByteBlocks();
  let received = 0;
  for await (const piece of source) {
    if (piece.err) return piece;
    received += piece.val.length;
    // A chunk with more bytes than the manifest says is corrupted. Reading
    // stops, as an endless sender would fill the memory.
    if (received > size) return Ok({pieces: [], verified: false});
    hash.update(piece.val);
    blocks.add(piece.val);
    onProgress(piece.val.length);
  }
  const verified = `sha256:${hash.digest('hex')}` === digest;
  return Ok({pieces: verified ? blocks.take() : [], verified});
}
