import {
  slotAllowance,
  slotShareOf,
  type SendingEntry,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

const zones = ['north', 'south', 'west'] as const;

const sites = fc.array(fc.constantFrom(...zones), {
  minLength: 1,
  maxLength: 12,
});

const report = (sequence: number, address = 'engine:1') => ({
  address,
  sequence,
});

function entriesOf(site: readonly string[]): readonly SendingEntry[] {
  return site.map((zone, index) => ({instance: `entry-${index}`, zone}));
}

// Eight entries see the same free slot in the same report. If each of them
// filled it, seven requests would wait at the engine and be late.
test('near entries together fill each free slot exactly once', () => {
  fc.assert(
    fc.property(
      sites,
      fc.constantFrom(...zones),
      fc.integer({min: -3, max: 20}),
      fc.nat(1_000),
      (site, zone, free, sequence) => {
        const entries = entriesOf(site);
        const near = entries.filter(entry => entry.zone === zone);
        fc.pre(near.length > 0);
        const given = near.map(entry =>
          slotAllowance(
            free,
            slotShareOf(entry, entries, zone),
            report(sequence),
          ),
        );
        const sum = given.reduce((total, slots) => total + slots, 0);
        expect(sum).toBe(Math.min(3, Math.max(0, free)));
      },
    ),
    propertyRuns,
  );
});

test('entries of other zones leave reserved slots to near entries', () => {
  const entries = entriesOf(['north', 'south']);
  const far = slotShareOf(entries[1]!, entries, 'north');
  expect(slotAllowance(3, far, report(0))).toBe(0);
  expect(slotAllowance(5, far, report(0))).toBe(2);
});

// If all engines of a zone are lost, its callers must be served by engines of
// other zones, although the entries there come first.
test('an engine with room takes requests from other zones too', () => {
  const entries = entriesOf(['north', 'south', 'south']);
  const given = entries
    .slice(1)
    .map(entry =>
      slotAllowance(16, slotShareOf(entry, entries, 'north'), report(0)),
    );
  expect(given.reduce((sum, slots) => sum + slots, 0)).toBe(2);
});

test('all entries share an engine whose zone has no entry', () => {
  const entries = entriesOf(['north', 'south']);
  const given = entries.map(entry =>
    slotAllowance(2, slotShareOf(entry, entries, 'west'), report(0)),
  );
  expect(given).toEqual([1, 1]);
});

// Entries of other zones receive every third report. With three or six of them,
// turns that advance by one per report would never reach some entries.
test('single slots are shared equally, whichever reports the entries receive', () => {
  const reports = 2_000;
  fc.assert(
    fc.property(
      fc.integer({min: 2, max: 7}),
      fc.constantFrom(1, 3),
      fc.nat(10_000),
      (size, step, first) => {
        const entries = entriesOf(Array<string>(size).fill('north'));
        const given = entries.map(entry => {
          const share = slotShareOf(entry, entries, 'north');
          let slots = 0;
          for (let count = 0; count < reports; count += 1) {
            slots += slotAllowance(1, share, report(first + count * step));
          }
          return slots;
        });
        const fair = reports / size;
        for (const slots of given) {
          expect(Math.abs(slots - fair)).toBeLessThan(0.35 * fair);
        }
        expect(given.reduce((sum, slots) => sum + slots, 0)).toBe(reports);
      },
    ),
    propertyRuns,
  );
});

// Agents that start together use the same sequence numbers. With turns by
// sequence number alone, an entry has its turn at all engines in one report and
// at none in others.
test('engines with equal sequence numbers give turns to different entries', () => {
  const entries = entriesOf(Array<string>(15).fill('north'));
  const share = slotShareOf(entries[0]!, entries, 'north');
  const engines = Array.from({length: 12}, (_, index) => `engine-${index}:1`);
  const withoutTurn = Array.from({length: 500}, (_, sequence) =>
    engines.every(
      engine => slotAllowance(8, share, report(sequence, engine)) < 1,
    ),
  ).filter(isWithout => isWithout).length;
  // 0.8 to the power of 12 is 0.07.
  expect(withoutTurn / 500).toBeLessThan(0.12);
});
