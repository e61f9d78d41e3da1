import {
  createEvacuations,
  createTargetRegistry,
  type EvacuationChange,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {plainRequest, plainTarget} from '../fixtures/placement';
import {propertySettings} from '../fixtures/property_settings';

function siteWith(...evacuated: string[]) {
  const zones = new Set(evacuated);
  const registry = createTargetRegistry(
    {instance: 'entry', zone: 'north'},
    () => true,
    () => true,
    {isEvacuated: zone => zones.has(zone)},
  );
  const north = plainTarget('north-1');
  const south = plainTarget('south-1', {zone: 'south'});
  registry.list([north, south], 0);
  return {registry, zones, north, south};
}

test('no target of an evacuated zone is chosen', () => {
  const {registry, south} = siteWith('north');
  expect(registry.choose(plainRequest())).toEqual({
    kind: 'chosen',
    target: south,
  });
});

test('a request chosen before its zone is evacuated does not begin there', () => {
  const {registry, zones, north, south} = siteWith();
  zones.add('north');
  expect(registry.mayStart(north, plainRequest())).toBe(false);
  expect(registry.mayStart(south, plainRequest())).toBe(true);
});

test('a request is refused at once if all zones of its service are evacuated', () => {
  const {registry, zones} = siteWith('north', 'south');
  expect(registry.choose(plainRequest())).toEqual({kind: 'evacuated'});
  zones.clear();
  expect(registry.choose(plainRequest()).kind).toBe('chosen');
});

/** The operator's rows in the order in which they were written. */
const history = fc.array(
  fc.record({
    zone: fc.constantFrom('north', 'south', 'west'),
    isEvacuated: fc.boolean(),
  }),
  {minLength: 1, maxLength: 12},
);

/**
 * A read: the last row it covers, and the row after which it starts (undefined
 * for all rows).
 */
const reads = fc.array(
  fc.record({
    until: fc.nat(12),
    after: fc.option(fc.nat(12), {nil: undefined}),
  }),
  {maxLength: 30},
);

// Relayed and local reads overtake one another. Reads of changes start at an
// earlier known revision.
test('the newest read wins whatever the order of reads', () => {
  fc.assert(
    fc.property(history, reads, (written, applied) => {
      const rows: EvacuationChange[] = written.map((row, index) => ({
        ...row,
        revision: index + 1,
      }));
      const evacuations = createEvacuations();
      let known = 0;
      evacuations.replace([], 0);
      for (const read of applied) {
        const until = Math.min(read.until, rows.length);
        if (read.after === undefined) {
          evacuations.replace(zonesAt(rows, until), until);
        } else {
          const after = Math.min(read.after, known);
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
