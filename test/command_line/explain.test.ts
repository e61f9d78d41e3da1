import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, onTestFinished, test} from 'vitest';
import {run} from './program_fixture';

function line(message: string, fields: object, prefix = ''): string {
  const time = '2026-03-09T15:17:29.790Z';
  return `${prefix}${JSON.stringify({time, level: 'info', message, fields})}`;
}

function ended(request: string, fields: object): string {
  return line('[requests] request', {request, took: 12, ...fields});
}

const TARGET = 'i-ab0c52b00c 10.1.0.20:8401';

const ENTRY_LOG = [
  line('[configuration] configuration in force', {version: 26}),
  line('[configuration] configuration in force', {version: 27}),
  line('[routing] target', {instance: 'i-ab0c52b00c', line: 'ready'}),
  line('[routing] target', {instance: 'i-other', line: 'ready'}),
  ended('killed', {
    result: 'unknown',
    cause: 'connectionLost',
    attempts: [`0 ms ${TARGET} (read ECONNRESET): unknown 4 ms`],
  }),
  ended('frozen', {
    result: 'cut',
    cause: 'silence',
    lastEvent: '17',
    attempts: [`0 ms ${TARGET}: broken silence 1900 ms`],
  }),
  ended('full', {result: 'notRun', reason: 'allFull', attempts: []}),
  ended('full-too', {result: 'notRun', reason: 'allFull', attempts: []}),
  ended('served', {result: 'streamed', attempts: [`0 ms ${TARGET}: 9 ms`]}),
  line('[routing] target gone', {instance: 'i-ab0c52b00c'}),
  line('[requests] answered here', {
    request: 'stale',
    status: 503,
    reason: 'staleConfiguration',
    confirmationAge: 4752,
  }),
  'no line of ours',
  '{"time": "cut',
].join('\n');

function logFile(text: string): string {
  const folder = mkdtempSync(join(tmpdir(), 'hibiscusbeam-explain-'));
  onTestFinished(() => rmSync(folder, {recursive: true}));
  const file = join(folder, 'entry.log');
  writeFileSync(file, text);
  return file;
}

describe('explain', () => {
  // An engine is killed while it runs a request; only the request's id and the
  // entry's log are known.
  test('traces a request whose target was killed', async () => {
    const file = logFile(ENTRY_LOG);
    const {code, out} = await run(['explain', 'killed', file]);
    expect(code).toBe(0);
    expect(out).toContain('{"version":27}');
    expect(out).not.toContain('{"version":26}');
    expect(out).toContain('attempt: 0 ms i-ab0c52b00c');
    expect(out).toContain('[routing] target gone');
    expect(out).not.toContain('i-other');
    expect(out).toContain(
      'Cause: May have run: the connection to the target was lost',
    );
  });

  test('traces a stream whose target froze', async () => {
    const {out} = await run(['explain', 'frozen'], {}, ENTRY_LOG);
    expect(out).toContain(
      'Cause: The stream broke after event 17: the target fell silent',
    );
  });

  test('names the unreachable store as the cause of a request that was not run', async () => {
    const {out} = await run(['explain', 'stale'], {}, ENTRY_LOG);
    expect(out).toContain('no word from the store for 4752 ms');
  });

  test('reads collected logs whose lines have a prefix', async () => {
    const fields = {request: 'one', took: 3, result: 'passOn', attempts: []};
    const prefixed = line('[requests] request', fields, ' 29.7 front-1 ');
    const other = line('[routing] target gone', {instance: 'i'}, '1 front-2 ');
    const {out} = await run(['explain', 'one'], {}, `${other}\n${prefixed}`);
    expect(out).toContain('- front-1:');
    expect(out).toContain('Cause: Answered whole.');
  });

  test('asks for more logs if no line belongs to the request', async () => {
    const {code, error} = await run(['explain', 'nobody'], {}, ENTRY_LOG);
    expect(code).toBe(1);
    expect(error).toContain('give the logs of all entries');
  });

  test('names a file that cannot be read', async () => {
    const {code, error} = await run(['explain', 'one', '/nowhere/entry.log']);
    expect(code).toBe(2);
    expect(error).toContain('/nowhere/entry.log');
  });
});

describe('failures', () => {
  test('counts failed requests by cause', async () => {
    const {out} = await run(['failures'], {}, ENTRY_LOG);
    expect(out.trim().split('\n')).toEqual([
      '2\tnotRun allFull',
      '1\tunknown connectionLost',
      '1\tcut silence',
      '1\t503 staleConfiguration',
    ]);
  });
});
