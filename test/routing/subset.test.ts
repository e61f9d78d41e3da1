import {chooseSubset, entriesPerTarget} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';

function createSite(entryCount: number, targetCount: number) {
  return {
    entries: Array.from({length: entryCount}, (_, position) => ({
      instance: `entry-${position}`,
      zone: `zone-${position % 3}`,
    })),
    targets: Array.from({length: targetCount}, (_, position) => ({
      target: `engine-${position}`,
      zone: `zone-${position % 3}`,
      serves: [position % 10 === 0 ? 'rare-model' : 'repair-notes'],
    })),
  };
}

describe('a subset', () => {
  test('covers every target by enough entries and is bounded', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 40}),
        fc.integer({min: 1, max: 60}),
        fc.integer({min: 1, max: 30}),
        (entryCount, targetCount, size) => {
          const {entries, targets} = createSite(entryCount, targetCount);
          const holders = new Map<string, number>();
          const perTarget = entriesPerTarget(entryCount, targetCount, size);
          const mean = (perTarget * targetCount) / entryCount;
          for (const {instance: entry} of entries) {
            const subset = chooseSubset({entry, entries, targets, size});
            expect(new Set(subset).size).toBe(subset.length);
            const maxSize = Math.ceil(mean * 1.25) + perTarget + 2 * 4;
            expect(subset.length).toBeLessThanOrEqual(maxSize);
            for (const target of subset) {
              holders.set(target, (holders.get(target) ?? 0) + 1);
            }
          }
          for (const {target} of targets) {
            expect(holders.get(target)).toBeGreaterThanOrEqual(perTarget);
          }
        },
      ),
      propertySettings(60),
    );
  });

  test('does not depend on the order of the lists', () => {
    const {entries, targets} = createSite(12, 30);
    const request = {entry: 'entry-3', entries, targets, size: 8};
    const reversed = {
      ...request,
      entries: [...entries].reverse(),
      targets: [...targets].reverse(),
    };
    expect(chooseSubset(reversed)).toEqual(chooseSubset(request));
  });

  test('holds several targets of every model', () => {
    const {entries, targets} = createSite(40, 60);
    for (const {instance: entry} of entries) {
      const subset = chooseSubset({entry, entries, targets, size: 10});
      const rare = targets.filter(
        target =>
          target.serves.includes('rare-model') &&
          subset.includes(target.target),
      );
      expect(rare.length).toBeGreaterThanOrEqual(4);
    }
  });

  test('holds all targets of a small site', () => {
    const {entries, targets} = createSite(8, 8);
    const subset = chooseSubset({entry: 'entry-0', entries, targets});
    expect(subset).toHaveLength(8);
  });
});
