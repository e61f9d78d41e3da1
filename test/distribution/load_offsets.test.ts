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

// All engines of a zone load at once, and its callers are refused until they
// are done.
test('the loads of each zone are spread over the whole time', () => {
  const sites = fc.array(fc.constantFrom('north', 'south', 'west'), {
    minLength: 2,
    maxLength: 30,
  });
  fc.assert(
    fc.property(sites, zones => {
      const places = offsetsOf(zones);
      for (const zone of new Set(zones)) {
        const own = places.filter((_place, index) => zones[index] === zone);
        own.sort((one, other) => one - other);
        own.forEach((place, turn) => {
          expect(place).toBeGreaterThanOrEqual(turn / own.length);
          expect(place).toBeLessThan((turn + 1) / own.length);
        });
      }
    }),
    propertyRuns,
  );
});

test('engines of different zones don’t load at the same time', () => {
  expect(offsetsOf(['north', 'south'])).toEqual([0, 0.5]);
});

test('the first one loads when its chunks are there', () => {
  expect(loadAge(0, 3_700, BOUND)).toBe(3_700);
});

test('the last one begins within the bound', () => {
  expect(loadAge(0.99, 4_000, BOUND)).toBeLessThan(0.9 * BOUND);
});

// Chunks came late, since the origin was away. Waiting for a turn would only
// put the load off beyond the bound.
test('who has its chunks late loads at once', () => {
  expect(loadAge(0.9, 7_900, BOUND)).toBe(7_900);
});

test('later places are committed later', () => {
  expect(committedAge(0, BOUND)).toBe(2_400);
  expect(committedAge(0.9, BOUND)).toBeGreaterThan(committedAge(0.1, BOUND));
});
