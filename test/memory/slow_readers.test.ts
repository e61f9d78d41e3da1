import {selectReadersToDrop} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

const readers = fc.array(
  fc.record({held: fc.nat(10_000), stalledFor: fc.nat(5_000)}),
  {maxLength: 50},
);

// An entry that buffers beyond its bound runs out of memory.
test('the remaining readers hold at most the bound, and none is dropped needlessly', () => {
  fc.assert(
    fc.property(readers, fc.nat(100_000), (held, bound) => {
      const sumOf = (some: typeof held) =>
        some.reduce((sum, reader) => sum + reader.held, 0);
      const dropped = selectReadersToDrop(held, bound);
      const left = held.filter(reader => !dropped.includes(reader));
      expect(sumOf(left)).toBeLessThanOrEqual(bound);
      const last = dropped.at(-1);
      if (last !== undefined) {
        expect(sumOf([...left, last])).toBeGreaterThan(bound);
      }
    }),
    propertyRuns,
  );
});

test('the slowest reader is dropped first, but none with a tiny buffer', () => {
  const large = {held: 5_000, stalledFor: 900};
  const slowest = {held: 4_000, stalledFor: 1_000};
  const small = {held: 10, stalledFor: 3_000};
  expect(selectReadersToDrop([large, small, slowest], 6_000)).toEqual([
    slowest,
  ]);
});
