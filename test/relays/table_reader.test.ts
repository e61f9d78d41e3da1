import {defersReadingTo, type TableReader} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';

const relays = fc.uniqueArray(
  fc.record({
    instance: fc.string({minLength: 1, maxLength: 3}),
    storeDistance: fc.double({min: 0.1, max: 20, noNaN: true}),
  }),
  {minLength: 2, maxLength: 5, selector: ({instance}) => instance},
);

// If each of two relays left reading the operator's table to the other, no
// configuration would come into force until one of them requests it by itself.
test('of any two relays, at least one reads the table', () => {
  fc.assert(
    fc.property(relays, ([one, other]) => {
      const both =
        defersReadingTo(one!, other!) && defersReadingTo(other!, one!);
      expect(both).toBe(false);
    }),
    propertySettings(500),
  );
});

test('the nearest relay reads the table; among equally near ones, the first by name', () => {
  const near: TableReader = {instance: 'z', storeDistance: 4.3};
  const alsoNear: TableReader = {instance: 'y', storeDistance: 4.6};
  const far: TableReader = {instance: 'a', storeDistance: 6.3};
  expect(defersReadingTo(far, near)).toBe(true);
  expect(defersReadingTo(near, far)).toBe(false);
  expect(defersReadingTo(near, alsoNear)).toBe(true);
  expect(defersReadingTo(alsoNear, near)).toBe(false);
});
