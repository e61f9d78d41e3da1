import {rendezvousOrder} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';

describe('rendezvous order', () => {
  test('reassigns only the subjects of a removed candidate', () => {
    fc.assert(
      fc.property(
        fc.string(),
        fc.uniqueArray(fc.string({minLength: 1}), {minLength: 2}),
        (subject, candidates) => {
          const order = rendezvousOrder(subject, candidates);
          const gone = order.at(-1);
          const rest = candidates.filter(candidate => candidate !== gone);
          expect(rendezvousOrder(subject, rest)).toEqual(order.slice(0, -1));
        },
      ),
      propertySettings(200),
    );
  });
});
