import {unreachable} from '../kernel/flow';
import type {Bytes, MonotonicInstant} from '../types';
import {createByteBlocks} from './byte_blocks';
import {createFragmentLimit} from './fragment_limit';

/** Why no more of an answer is taken. */
export type ReceivingFault = 'tooLarge' | 'lineTooLong' | 'fragmented';

/** Limits of what is kept of one answer. */
export interface ReceivingLimits {
  readonly maxBytes: Bytes;
  readonly clock: () => MonotonicInstant;
}

/** Bytes of an answer that are kept until it ends. */
export interface ReceivedBytes {
  /** Adds a part; undefined if more may follow. */
  readonly add: (part: Uint8Array) => ReceivingFault | undefined;
  /** Memory that is taken. */
  readonly memory: () => Bytes;
  /** All bytes, in order. */
  readonly join: () => Buffer;
}

/** Keeps the bytes of an answer, with memory and time in proportion to them. */
export function createReceivedBytes({
  maxBytes,
  clock,
}: ReceivingLimits): ReceivedBytes {
  const blocks = createByteBlocks();
  const fragments = createFragmentLimit(clock);
  return {
    add: part => {
      if (blocks.length() + part.length > maxBytes) return 'tooLarge';
      blocks.add(part);
      return fragments.isExceededBy(part.length) ? 'fragmented' : undefined;
    },
    memory: blocks.memory,
    join: () => Buffer.concat(blocks.take()),
  };
}

/** Describes a fault for a log line or an error. */
export function describeReceivingFault(fault: ReceivingFault): string {
  switch (fault) {
    case 'tooLarge':
      return 'the answer is too large';
    case 'lineTooLong':
      return 'a line of the answer is too long';
    case 'fragmented':
      return 'the answer comes in too many small parts';
    default:
      return unreachable(fault);
  }
}

/** Code of the error for an answer that exceeds its limits. */
export const RECEIVING_FAULT_CODE = 'ERR_ANSWER_LIMIT';

/** Creates the error for an answer that exceeds its limits. */
export function receivingError(fault: ReceivingFault): Error {
  const error = new Error(describeReceivingFault(fault));
  return Object.assign(error, {code: RECEIVING_FAULT_CODE});
}

/**
 * Reads a whole body; throws if it exceeds the limits. `onPart` is called for
 * each part.
 */
export async function readWholeBody(
  body: AsyncIterable<Uint8Array>,
  limits: ReceivingLimits,
  onPart: (part: Uint8Array) => void = () => undefined,
): Promise<Buffer> {
  const received = createReceivedBytes(limits);
  for await (const part of body) {
    onPart(part);
    const fault = received.add(part);
    if (fault !== undefined) throw receivingError(fault);
  }
  return received.join();
}
