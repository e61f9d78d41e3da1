import {
  createEvacuations,
  createTargetRegistry,
  type EvacuationChange,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {plainNeed, plainTarget} from '../fixtures/placement';
import {propertySettings} from '../fixtures/property_settings';

function siteWith(...evacuated: string[]) {
  const zones = new Set(evacuated);
  const book = createTargetRegistry(
    {instance: 'entry', zone: 'north'},
    () => true,
    () => true,
    {isEvacuated: zone => zones.has(zone)},
  );
  const north = plainTarget('north-1');
  const south = plainTarget('south-1', {zone: 'south'});
  book.list([north, south], 0);
  return {book, zones, north, south};
}

test('no target of an evacuated zone is chosen', () => {
  const {book, south} = siteWith('north');
  expect(book.choose(plainNeed())).toEqual({kind: 'chosen', target: south});
});

test('a request chosen before its zone is evacuated does not begin there', () => {
  const {book, zones, north, south} = siteWith();
  zones.add('north');
  expect(book.mayStart(north, plainNeed())).toBe(false);
  expect(book.mayStart(south, plainNeed())).toBe(true);
});

test('a service whose zones are all evacuated is refused at once, not waited for', () => {
  const {book, zones} = siteWith('north', 'south');
  expect(book.choose(plainNeed())).toEqual({kind: 'evacuated'});
  zones.clear();
  expect(book.choose(plainNeed()).kind).toBe('chosen');
});

/** The operator's rows in the order of their writing. */
const history = fc.array(
  fc.record({
    zone: fc.constantFrom('north', 'south', 'west'),
    isEvacuated: fc.boolean(),
  }),
  {minLength: 1, maxLength: 12},
);

/** A reading: up to which row, and after which (all rows if undefined). */
const readings = fc.array(
  fc.record({
    until: fc.nat(12),
    after: fc.option(fc.nat(12), {nil: undefined}),
  }),
  {maxLength: 30},
);

// Relayed and own readings overtake one another; those of changes begin where
// something older was known.
test('the newest reading counts in any order of readings', () => {
  fc.assert(
    fc.property(history, readings, (written, taken) => {
      const rows: EvacuationChange[] = written.map((row, index) => ({
        ...row,
        revision: index + 1,
      }));
      const evacuations = createEvacuations();
      let known = 0;
      evacuations.replace([], 0);
      for (const reading of taken) {
        const until = Math.min(reading.until, rows.length);
        if (reading.after === undefined) {
          evacuations.replace(zonesAt(rows, until), until);
        } else {
          const after = Math.min(reading.after, known);
          const isNew = ({revision}: EvacuationChange) =>
            revision > after && revision <= until;
          evacuations.change(rows.filter(isNew), until);
        }
        known = Math.max(known, until);
        const names = new Set(evacuations.zones().map(({zone}) => zone));
        expect(names).toEqual(
          new Set(zonesAt(rows, known).map(({zone}) => zone)),
        );
      }
    }),
    propertySettings(500),
  );
});

function zonesAt(rows: readonly EvacuationChange[], revision: number) {
  const zones = new Map<string, EvacuationChange>();
  for (const row of rows.slice(0, revision)) {
    if (row.isEvacuated) zones.set(row.zone, row);
    else zones.delete(row.zone);
  }
  return [...zones.values()];
}
