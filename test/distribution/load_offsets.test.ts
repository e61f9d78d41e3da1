import {
  committedAge,
  loadAge,
  loadOffset,
  type SwarmMember,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

const BOUND = 8_000;

function membersOf(zones: readonly string[]): readonly SwarmMember[] {
  return zones.map((zone, index) => ({instance: `engine-${index}`, zone}));
}

function offsetsOf(zones: readonly string[]) {
  const members = membersOf(zones);
  return members.map(member => loadOffset(member, members));
}

// If all engines of a zone load at the same time, requests to that zone are
// refused until they are done.
test('the loads of each zone are spread over the whole load period', () => {
  const sites = fc.array(fc.constantFrom('north', 'south', 'west'), {
    minLength: 2,
    maxLength: 30,
  });
  fc.assert(
    fc.property(sites, zones => {
      const offsets = offsetsOf(zones);
      for (const zone of new Set(zones)) {
        const own = offsets.filter((_place, index) => zones[index] === zone);
        own.sort((one, other) => one - other);
        own.forEach((offset, turn) => {
          expect(offset).toBeGreaterThanOrEqual(turn / own.length);
          expect(offset).toBeLessThan((turn + 1) / own.length);
        });
      }
    }),
    propertyRuns,
  );
});

test('engines of different zones don’t load at the same time', () => {
  expect(offsetsOf(['north', 'south'])).toEqual([0, 0.5]);
});

test('the first engine loads as soon as its chunks have arrived', () => {
  expect(loadAge(0, 3_700, BOUND)).toBe(3_700);
});

test('the last engine starts its load within the bound', () => {
  expect(loadAge(0.99, 4_000, BOUND)).toBeLessThan(0.9 * BOUND);
});

// Chunks arrive late after an origin outage. Waiting for the load offset would
// only delay the load beyond the bound.
test('an engine whose chunks arrive late loads at once', () => {
  expect(loadAge(0.9, 7_900, BOUND)).toBe(7_900);
});

test('a version is committed later on engines with a later offset', () => {
  expect(committedAge(0, BOUND)).toBe(2_400);
  expect(committedAge(0.9, BOUND)).toBeGreaterThan(committedAge(0.1, BOUND));
});
