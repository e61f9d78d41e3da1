import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createByteBlocks} from '@hibiscusbeam/core';
import {propertyRuns} from '../forwarding/property_runs';

const LENGTH = 200_000;

/** Memory that may be taken for a byte, and for the body as a whole. */
const MAX_SHARE = 2.1;
const MAX_OVERHEAD = 10_000;

function collect(parts: readonly Buffer[]) {
  const blocks = createByteBlocks();
  const memory = parts.reduce((sum, part) => sum + blocks.add(part), 0);
  return {memory, length: blocks.length(), blocks: blocks.take()};
}

test('the blocks hold all parts in their order', () => {
  const sizes = fc.array(
    fc.oneof(fc.integer({min: 1, max: 9}), fc.nat(90_000)),
  );
  fc.assert(
    fc.property(sizes, some => {
      const parts = some.map((size, index) => Buffer.alloc(size, index));
      const {blocks, length} = collect(parts);
      expect(Buffer.concat(blocks).equals(Buffer.concat(parts))).toBe(true);
      expect(length).toBe(Buffer.concat(parts).length);
    }),
    propertyRuns,
  );
});

test.each([1, 3, 100, 1_024, 65_536])(
  'a body in parts of %i bytes takes little more memory than its bytes',
  size => {
    const parts = Array.from({length: Math.ceil(LENGTH / size)}, () =>
      Buffer.alloc(size),
    );
    const {memory, length, blocks} = collect(parts);
    const held = blocks.reduce((sum, {buffer}) => sum + buffer.byteLength, 0);
    expect(memory).toBeGreaterThanOrEqual(held);
    expect(memory).toBeLessThan(length * MAX_SHARE + MAX_OVERHEAD);
  },
);
