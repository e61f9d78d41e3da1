import {runFleetProcess} from '@hibiscusbeam/fleet';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';

const VARIABLE = 'HIBISCUSBEAM_TEST_SETTINGS';

const SETTINGS = {
  role: 'entry',
  instance: 'entry-1',
  zone: 'north',
  region: 'north',
  peerAddress: '127.0.0.1:1',
  callerAddress: '127.0.0.1:2',
  readinessAddress: '127.0.0.1:3',
  directoryAddress: '127.0.0.1:4',
  logLevel: 'error',
  store: {address: '127.0.0.1:5', heartbeat: 1_200},
  bounds: {
    configuration: 2_000,
    revocation: 5_000,
    draining: 2_000,
    version: 8_000,
    grace: 8_000,
    directoryAnswer: 5_000,
    repeats: {share: 0.2, slack: 104, window: 10_000},
  },
};

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'fleet-process-'));
  const file = join(folder, 'settings.yaml');
  writeFileSync(file, JSON.stringify(SETTINGS));
  vi.stubEnv(VARIABLE, file);
});

afterEach(() => {
  vi.unstubAllEnvs();
  rmSync(folder, {recursive: true});
});

function listenersWhileStarting(signal: NodeJS.Signals): Promise<number> {
  return new Promise(resolve => {
    void runFleetProcess(VARIABLE, 'entry', () => {
      resolve(process.listenerCount(signal));
      return new Promise(() => undefined);
    });
  });
}

test('the signal to reload settings does not end a process that is starting', async () => {
  const before = process.listenerCount('SIGHUP');
  expect(await listenersWhileStarting('SIGHUP')).toBe(before + 1);
});
