import * as fc from 'fast-check';
import {expect, it} from 'vitest';
import type {TableTransaction} from '@hibiscusbeam/core';
import {createTable} from '../../packages/standins/src/platform/table';
import {propertySettings} from '../fixtures/property_settings';

const key = fc.constantFrom('a/1', 'a/2', 'b/1');

const transaction: fc.Arbitrary<TableTransaction> = fc.record({
  conditions: fc.array(
    fc.oneof(
      fc.record({kind: fc.constant('absent' as const), key}),
      fc.record({
        kind: fc.constant('versionIs' as const),
        key,
        version: fc.integer({min: 1, max: 3}),
      }),
    ),
    {maxLength: 2},
  ),
  writes: fc.array(
    fc.oneof(
      fc.record({kind: fc.constant('put' as const), key, value: fc.nat()}),
      fc.record({kind: fc.constant('delete' as const), key}),
    ),
    {maxLength: 3},
  ),
});

it('writes all of a transaction or, with a failed condition, nothing', () => {
  fc.assert(
    fc.property(fc.array(transaction, {maxLength: 20}), transactions => {
      const table = createTable();
      for (const {conditions, writes} of transactions) {
        const before = table.scan('', 10);
        const versions = new Map(before.map(row => [row.key, row.version]));
        const holds = conditions.every(condition =>
          condition.kind === 'absent'
            ? !versions.has(condition.key)
            : versions.get(condition.key) === condition.version,
        );
        const outcome = table.commit({conditions, writes});
        expect(outcome.kind).toBe(holds ? 'committed' : 'conditionFailed');
        if (!holds) expect(table.scan('', 10)).toEqual(before);
        if (!holds) continue;
        for (const write of writes) {
          const last = writes.findLast(other => other.key === write.key);
          const value = last?.kind === 'put' ? last.value : undefined;
          expect(table.read(write.key)?.value).toBe(value);
        }
      }
    }),
    propertySettings(300),
  );
});

it('raises the version of a row by one with each write', () => {
  const table = createTable();
  const put = {kind: 'put', key: 'a', value: 0} as const;
  table.commit({conditions: [], writes: [put]});
  table.commit({conditions: [], writes: [put, put]});
  expect(table.read('a')?.version).toBe(3);
});

it('scans a prefix in key order up to the limit', () => {
  fc.assert(
    fc.property(fc.uniqueArray(fc.string()), fc.nat(9), (keys, limit) => {
      const table = createTable();
      for (const name of keys) {
        const write = {kind: 'put', key: `p/${name}`, value: 0} as const;
        table.commit({conditions: [], writes: [write]});
      }
      const other = {kind: 'put', key: 'q/', value: 0} as const;
      table.commit({conditions: [], writes: [other]});
      const expected = keys.map(name => `p/${name}`).sort();
      const found = table.scan('p/', limit).map(row => row.key);
      expect(found).toEqual(expected.slice(0, limit));
    }),
    propertySettings(200),
  );
});
