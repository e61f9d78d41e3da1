import type {Log} from '@hibiscusbeam/daemon';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createStartupLog} from '../../packages/fleet/src/runtime/startup_log';

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function startLog() {
  const lines: {message: string; fields: unknown}[] = [];
  const note = (message: string, fields: unknown): void =>
    void lines.push({message, fields});
  const log = {info: note, warn: note} as unknown as Log;
  const startup = createStartupLog(['services', 'members'], log, () =>
    Date.now(),
  );
  return {startup, lines};
}

test('one line tells what a start has read, with the failed calls', () => {
  const {startup, lines} = startLog();
  const call = {table: 'members', received: 100, duration: 800};
  startup.recordCall({...call, failure: 'notConnected'});
  startup.recordCall({...call, failure: 'underWay'});
  startup.recordCall({...call, failure: undefined});
  vi.advanceTimersByTime(2_400);
  startup.recordKnown('members', 'store');
  startup.recordKnown('services', 'entry');
  startup.recordKnown('services', 'store');
  vi.advanceTimersByTime(60_000);
  expect(lines).toHaveLength(1);
  expect(lines[0]).toMatchObject({
    message: 'start complete',
    fields: {
      duration: 2_400,
      known: {
        members: {source: 'store', at: 2_400},
        services: {source: 'entry', at: 2_400},
      },
      store: {
        members: {
          calls: 3,
          received: 300,
          duration: 2_400,
          failures: {notConnected: 1, underWay: 1},
        },
      },
    },
  });
});

test('a start that lacks something for long is logged with what is missing', () => {
  const {startup, lines} = startLog();
  startup.recordKnown('members', 'store');
  vi.advanceTimersByTime(10_000);
  expect(lines).toMatchObject([
    {message: 'start incomplete', fields: {missing: ['services']}},
  ]);
});
