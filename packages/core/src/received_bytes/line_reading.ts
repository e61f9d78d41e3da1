import type {Bytes, MonotonicInstant} from '../types';
import {createByteBlocks} from './byte_blocks';
import {createFragmentLimit} from './fragment_limit';
import {receivingError} from './received_bytes';

const LINE_FEED = 0x0a;

/** Options of reading lines. */
export interface LineReadingOptions {
  /** Maximum size of a line. */
  readonly maxLine: Bytes;
  /** Whether a last line without a line feed is returned, too. */
  readonly keepsUnterminated: boolean;
  readonly clock: () => MonotonicInstant;
}

/**
 * Reads the lines of a body, without their line feeds; throws if a line is too
 * long or the body comes in too many small parts.
 */
export async function* readLinesOf(
  body: AsyncIterable<Uint8Array>,
  {maxLine, keepsUnterminated, clock}: LineReadingOptions,
): AsyncGenerator<string> {
  const fragments = createFragmentLimit(clock);
  let line = createByteBlocks();

  function add(bytes: Uint8Array): void {
    line.add(bytes);
    if (line.length() > maxLine) throw receivingError('lineTooLong');
  }

  function endLine(): string {
    const text = Buffer.concat(line.take()).toString('utf8');
    line = createByteBlocks();
    return text;
  }

  for await (const part of body) {
    if (fragments.isExceededBy(part.length)) {
      throw receivingError('fragmented');
    }
    let rest = part;
    for (;;) {
      const end = rest.indexOf(LINE_FEED);
      if (end === -1) break;
      add(rest.subarray(0, end));
      yield endLine();
      rest = rest.subarray(end + 1);
    }
    add(rest);
  }
  if (keepsUnterminated && line.length() > 0) yield endLine();
}
