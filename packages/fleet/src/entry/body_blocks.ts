import type {Bytes} from '@hibiscusbeam/core';

/** Sizes of the blocks that small parts are collected in. */
const MIN_BLOCK: Bytes = 1_024;
const MAX_BLOCK: Bytes = 64 * 1_024;

/** Memory that a block takes in addition to its bytes. */
const BLOCK_OVERHEAD: Bytes = 256;

/** Collects the parts of a body. */
export interface BodyBlocks {
  /** Adds a part; returns by how much the memory has grown. */
  readonly add: (part: Buffer) => Bytes;
  readonly length: () => Bytes;
  /** All blocks, in order. */
  readonly take: () => readonly Buffer[];
}

/**
 * Creates an empty collection. A buffer for each part would take hundreds of
 * bytes for a part of one byte, so small parts are copied into blocks that grow
 * with the body.
 */
export function createBodyBlocks(): BodyBlocks {
  const blocks: Buffer[] = [];
  /** The last block, while it has room. */
  let open: Buffer | undefined;
  let used: Bytes = 0;
  let length: Bytes = 0;

  /** Copies what fits into the open block; returns the rest. */
  function fill(part: Buffer): Buffer {
    if (open === undefined) return part;
    const copied = part.copy(open, used);
    used += copied;
    if (used === open.length) closeBlock();
    return part.subarray(copied);
  }

  function closeBlock(): void {
    if (open !== undefined) blocks.push(open.subarray(0, used));
    open = undefined;
    used = 0;
  }

  return {
    add: part => {
      const rest = fill(part);
      length += part.length;
      if (rest.length === 0) return 0;
      const size = Math.min(Math.max(length, MIN_BLOCK), MAX_BLOCK);
      // The parser of Node.js gives each part a memory of its own.
      if (blocks.length === 0 || rest.length >= size) {
        blocks.push(rest);
        return part.length + BLOCK_OVERHEAD;
      }
      open = Buffer.allocUnsafeSlow(size);
      fill(rest);
      return size + BLOCK_OVERHEAD;
    },
    length: () => length,
    take: () => {
      closeBlock();
      return blocks;
    },
  };
}
