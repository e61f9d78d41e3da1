import type {Bytes} from '../types';

/** Sizes of the blocks that small parts are collected in. */
const MIN_BLOCK: Bytes = 1_024;
const MAX_BLOCK: Bytes = 64 * 1_024;

/** Memory that a block takes in addition to its bytes. */
const BLOCK_OVERHEAD: Bytes = 256;

/** A part whose memory is more than this multiple of its size is copied. */
const MAX_MEMORY_SHARE = 2;

/** Collects bytes that arrive in parts. */
export interface ByteBlocks {
  /** Adds a part; returns by how much the memory has grown. */
  readonly add: (part: Uint8Array) => Bytes;
  readonly length: () => Bytes;
  /** Memory that is taken. */
  readonly memory: () => Bytes;
  /** All blocks, in order. */
  readonly take: () => readonly Buffer[];
}

/**
 * Creates an empty collection. A buffer for each part would take hundreds of
 * bytes for a part of one byte, so small parts are copied into blocks that grow
 * with the collection.
 */
export function createByteBlocks(): ByteBlocks {
  const blocks: Buffer[] = [];
  /** The last block, while it has room. */
  let open: Buffer | undefined;
  let used: Bytes = 0;
  let length: Bytes = 0;
  let memory: Bytes = 0;

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

  /** Returns by how much the memory has grown. */
  function keep(rest: Buffer): Bytes {
    if (rest.length === 0) return 0;
    const size = Math.min(Math.max(length, MIN_BLOCK), MAX_BLOCK);
    const isLarge = blocks.length === 0 || rest.length >= size;
    if (isLarge && ownsItsMemory(rest)) {
      blocks.push(rest);
      return rest.length + BLOCK_OVERHEAD;
    }
    open = Buffer.allocUnsafeSlow(Math.max(size, rest.length));
    const {length: added} = open;
    fill(rest);
    return added + BLOCK_OVERHEAD;
  }

  return {
    add: part => {
      const rest = fill(toBuffer(part));
      length += part.length;
      const growth = keep(rest);
      memory += growth;
      return growth;
    },
    length: () => length,
    memory: () => memory,
    take: () => {
      closeBlock();
      return blocks;
    },
  };
}

/** Whether keeping a part keeps little more memory than its bytes. */
function ownsItsMemory({buffer, length}: Buffer): boolean {
  return buffer.byteLength <= length * MAX_MEMORY_SHARE;
}

function toBuffer(part: Uint8Array): Buffer {
  if (Buffer.isBuffer(part)) return part;
  return Buffer.from(part.buffer, part.byteOffset, part.byteLength);
}
