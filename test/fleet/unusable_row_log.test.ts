import {expect, test} from 'vitest';
import {createUnusableRowLog} from '../../packages/fleet/src/link/unusable_row_log';
import {errorFreeLog} from '../fixtures/error_free_log';

// A table full of odd rows would be logged whole at each reading.
test('the log lines on unusable rows are bounded, however many there are', () => {
  const lines: string[] = [];
  const log = {
    ...errorFreeLog,
    warn: (message: string) => void lines.push(message),
  };
  const {record} = createUnusableRowLog('targets', log);
  const rows = Array.from({length: 5_000}, (_, at) => ({
    key: `odd-${at}`,
    revision: 1,
    reason: 'odd',
  }));
  for (let readings = 0; readings < 10; readings += 1) record(rows);
  expect(lines).toEqual(['rows not used']);
  record(rows.slice(0, 2));
  expect(lines).toHaveLength(3);
});
