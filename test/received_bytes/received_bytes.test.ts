import {
  createEventSplitter,
  createFragmentLimit,
  createReceivedBytes,
  readLinesOf,
  readWholeBody,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

const clock = () => 0;

/** Memory that a byte may take, and an answer as a whole. */
const MAX_MEMORY_SHARE = 4;
const MAX_OVERHEAD = 10_000;

async function* partsOf(
  bytes: Uint8Array,
  sizes: readonly number[],
): AsyncGenerator<Uint8Array> {
  let start = 0;
  for (const size of sizes) {
    yield bytes.subarray(start, start + size);
    start += size;
  }
  yield bytes.subarray(start);
}

const someSizes = fc.array(fc.integer({min: 0, max: 9}), {maxLength: 60});

describe('a limit of fragments', () => {
  function countUntilExceeded(size: number, perSecond: number): number {
    let now = 0;
    const limit = createFragmentLimit(() => now);
    for (let count = 1; count <= 50_000; count += 1) {
      now += 1_000 / perSecond;
      if (limit.isExceededBy(size)) return count;
    }
    return Infinity;
  }

  test('an answer in parts of one byte exceeds it within some thousand', () => {
    expect(countUntilExceeded(1, 1_000_000)).toBeLessThan(5_000);
  });

  test.each([
    ['in whole packets', 1_448, 1_000_000],
    ['in chunks of some hundred bytes', 100, 1_000_000],
    ['of many small events, as engines write them', 20, 500],
  ])('an answer %s stays within it', (_, size, perSecond) => {
    expect(countUntilExceeded(size, perSecond)).toBe(Infinity);
  });
});

test('what is kept of an answer has its bytes in order, however they arrive', async () => {
  await fc.assert(
    fc.asyncProperty(fc.uint8Array(), someSizes, async (bytes, sizes) => {
      const body = await readWholeBody(partsOf(bytes, sizes), {
        maxBytes: bytes.length,
        clock,
      });
      expect(body.equals(bytes)).toBe(true);
    }),
    propertyRuns,
  );
});

test('an answer over its limit is refused', () => {
  const received = createReceivedBytes({maxBytes: 10, clock});
  expect(received.add(Buffer.alloc(10))).toBeUndefined();
  expect(received.add(Buffer.alloc(1))).toBe('tooLarge');
});

test('a small part of a large buffer does not keep the whole buffer', () => {
  const received = createReceivedBytes({maxBytes: 1_000_000, clock});
  for (let count = 0; count < 9; count += 1) {
    received.add(Buffer.alloc(65_536).subarray(0, 100));
  }
  const {buffer} = received.join();
  expect(buffer.byteLength).toBeLessThan(MAX_OVERHEAD);
  expect(received.memory()).toBeLessThan(MAX_OVERHEAD);
});

test('an event without end takes memory in proportion to its bytes', () => {
  const splitter = createEventSplitter();
  for (let count = 0; count < 100_000; count += 1) {
    splitter.push(Buffer.from('x'));
  }
  expect(splitter.pendingBytes()).toBe(100_000);
  expect(splitter.pendingMemory()).toBeLessThan(
    100_000 * MAX_MEMORY_SHARE + MAX_OVERHEAD,
  );
});

describe('lines of a body', () => {
  async function linesOf(
    text: string,
    sizes: readonly number[],
    {maxLine = 100, keepsUnterminated = true} = {},
  ): Promise<readonly string[]> {
    const lines: string[] = [];
    const body = partsOf(Buffer.from(text), sizes);
    const options = {maxLine, keepsUnterminated, clock};
    for await (const line of readLinesOf(body, options)) lines.push(line);
    return lines;
  }

  test('are the same however the body arrives', async () => {
    const text = 'one\n\nthree: ü\nlast';
    await fc.assert(
      fc.asyncProperty(someSizes, async sizes => {
        expect(await linesOf(text, sizes)).toEqual(text.split('\n'));
      }),
      propertyRuns,
    );
  });

  test('leave out one that is not terminated if it may be cut', async () => {
    const kept = {keepsUnterminated: false};
    expect(await linesOf('one\ntw', [], kept)).toEqual(['one']);
  });

  test('are refused if one is too long or comes in fragments', async () => {
    await expect(linesOf('12345', [], {maxLine: 4})).rejects.toThrow(
      'too long',
    );
    const fragments = Array.from({length: 9_999}, () => 1);
    await expect(
      linesOf('x'.repeat(9_999), fragments, {maxLine: 99_999}),
    ).rejects.toThrow('small parts');
  });
});
