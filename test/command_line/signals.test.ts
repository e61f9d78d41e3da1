import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {RunningProcess} from '@hibiscusbeam/daemon';
import {describe, expect, onTestFinished, test} from 'vitest';
import {ENTRY_FILE} from '../settings/example_files';
import {run} from './program_fixture';

function settingsFile(): string {
  const folder = mkdtempSync(join(tmpdir(), 'hibiscusbeam-stopping-'));
  onTestFinished(() => rmSync(folder, {recursive: true}));
  writeFileSync(join(folder, 'site.key'), 'a-site-key-of-good-length');
  const file = join(folder, 'entry.yaml');
  writeFileSync(file, `${ENTRY_FILE}log:\n  level: error\n`);
  return file;
}

/** A fake process that records its calls, and signals that the test raises. */
function fakeProcess() {
  let listener = (_signal: string): void => undefined;
  let finish = (): void => undefined;
  let allowStart = (): void => undefined;
  const startAllowed = new Promise<void>(resolve => (allowStart = resolve));
  const stopped = new Promise<void>(resolve => (finish = resolve));
  const events: string[] = [];
  const process: RunningProcess = {
    stop: () => {
      events.push('stop');
      return stopped;
    },
    stopped,
  };
  return {
    events,
    signal: () => listener('SIGTERM'),
    allowStart: () => allowStart(),
    finish: () => finish(),
    context: {
      signals: (given: (signal: string) => void) => {
        listener = given;
        return () => (listener = () => undefined);
      },
      startEntry: () => startAllowed.then(() => process),
    },
  };
}

const flushPromises = () => new Promise(resolve => setImmediate(resolve));

describe('a signal', () => {
  test('lets the process finish what is in progress', async () => {
    const fake = fakeProcess();
    fake.allowStart();
    const ended = run(['entry', '--settings', settingsFile()], fake.context);
    await flushPromises();
    fake.signal();
    await flushPromises();
    expect(fake.events).toEqual(['stop']);
    fake.finish();
    const result = await ended;
    expect(result.code).toBe(0);
    expect(JSON.parse(result.out)).toMatchObject({ready: true, role: 'entry'});
  });

  // The process starts slowly because the platform is down, and is stopped
  // before it runs. If that signal were lost, an instance that is to be
  // replaced would never stop.
  test('that comes while the process starts is not lost', async () => {
    const fake = fakeProcess();
    const ended = run(['entry', '--settings', settingsFile()], fake.context);
    await flushPromises();
    fake.signal();
    fake.allowStart();
    fake.finish();
    expect((await ended).code).toBe(0);
    expect(fake.events).toEqual(['stop']);
  });

  test('given twice ends the process at once', {timeout: 5_000}, async () => {
    const fake = fakeProcess();
    fake.allowStart();
    const ended = run(['entry', '--settings', settingsFile()], fake.context);
    await flushPromises();
    fake.signal();
    fake.signal();
    expect((await ended).code).toBe(1);
  });

  test('is not waited for if the process cannot start', async () => {
    const failing = () => Promise.reject(new Error('address in use'));
    const result = await run(['entry', '--settings', settingsFile()], {
      startEntry: failing,
    });
    expect(result.code).toBe(1);
    expect(result.error).toContain('[process] the process failed');
  });

  test('does not reach a process whose settings have another role', async () => {
    const result = await run(['agent', '--settings', settingsFile()]);
    expect(result.code).toBe(2);
    expect(result.error).toContain('run: hibiscusbeam entry --settings');
  });
});
