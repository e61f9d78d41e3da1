import type {Log} from '@hibiscusbeam/daemon';
import {expect, test} from 'vitest';
import {createEraLog} from '../../packages/fleet/src/link/era_log';

test('a restore of the store is logged once, with the revisions around it', () => {
  const lines: unknown[] = [];
  const log = {warn: (_: string, fields: unknown) => lines.push(fields)};
  const record = createEraLog('targets', log as unknown as Log);
  record({era: 1, revision: 90});
  record({era: 2, revision: 40});
  record({era: 1, revision: 91});
  record({era: 2, revision: 41});
  const restored = {table: 'targets', era: 2, revision: 40, before: 90};
  expect(lines).toEqual([restored]);
});
