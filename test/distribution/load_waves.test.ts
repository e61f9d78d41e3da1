import {loadTimes, loadWave, type SwarmMember} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

const BOUND = 8_000;

function membersOf(zones: readonly string[]): readonly SwarmMember[] {
  return zones.map((zone, index) => ({instance: `engine-${index}`, zone}));
}

function wavesOf(zones: readonly string[]) {
  const members = membersOf(zones);
  return members.map(member => loadWave(member, members));
}

// All engines of a zone load at once, and its callers are refused until they
// are done.
test('no zone loads with all of its engines at the same time', () => {
  const sites = fc.array(fc.constantFrom('north', 'south', 'west'), {
    minLength: 2,
    maxLength: 30,
  });
  fc.assert(
    fc.property(sites, zones => {
      const waves = wavesOf(zones);
      for (const zone of new Set(zones)) {
        const own = waves.filter((_wave, index) => zones[index] === zone);
        const first = own.filter(wave => wave === 'first').length;
        expect(Math.abs(2 * first - own.length)).toBeLessThanOrEqual(1);
      }
    }),
    propertyRuns,
  );
});

test('a site with one engine a zone has both waves', () => {
  expect(wavesOf(['north', 'south'])).toEqual(['first', 'second']);
});

// A load takes up to 2.3 s of 8 s, and nothing older may start in the last
// second before the bound.
test('the second wave takes nothing new before older versions may not start', () => {
  expect(loadTimes('second', BOUND).earliest).toBeLessThan(BOUND - 1_000);
  expect(loadTimes('first', BOUND).earliest).toBe(0);
});
