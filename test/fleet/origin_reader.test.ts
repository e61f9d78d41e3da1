import type {Log} from '@hibiscusbeam/daemon';
import {Err, Ok} from 'ts-results';
import {expect, test} from 'vitest';
import {createOriginReader} from '../../packages/fleet/src/agent/origin_reader';
import type {OperatorMonitor} from '../../packages/fleet/src/agent/operator_monitor';
import type {VersionOrigin} from '../../packages/fleet/src/ports';

const content = {model: 'model', version: 2, digests: ['sha256:0']};

function startReader(isAway: () => boolean) {
  const lines: string[] = [];
  const record = (message: string) => void lines.push(message);
  const log = {info: record, warn: record, error: record} as unknown as Log;
  const origin: VersionOrigin = {
    content: () => Promise.reject(new Error('not asked here')),
    chunk: async function* () {
      yield isAway()
        ? Err({kind: 'unreachable', detail: 'connect ECONNREFUSED'})
        : Ok(Buffer.from('chunk'));
    },
  };
  const services = () => [{kind: 'weightOrigin', address: '127.0.0.1:1'}];
  const operator = {services} as unknown as OperatorMonitor;
  const reader = createOriginReader({
    origin,
    operator,
    wanted: () => [content],
    log,
  });
  return {reader, lines};
}

async function readOnce(
  {reader}: ReturnType<typeof startReader>,
  digest: string,
  signal = new AbortController().signal,
): Promise<boolean> {
  for await (const piece of reader.chunk(digest, signal)) {
    if (piece.err) return false;
  }
  return true;
}

// The origin is unavailable for six seconds while a version is distributed. All
// agents wait, and the log must show what they wait for.
test('logs once that the origin is lost, and once that it is back', async () => {
  let away = true;
  const started = startReader(() => away);
  expect(await readOnce(started, 'sha256:0')).toBe(false);
  expect(await readOnce(started, 'sha256:0')).toBe(false);
  away = false;
  expect(await readOnce(started, 'sha256:0')).toBe(true);
  expect(await readOnce(started, 'sha256:0')).toBe(true);
  expect(started.lines).toEqual([
    'origin of weights lost',
    'origin of weights regained',
  ]);
});

test('an aborted read is not logged as a loss of the origin', async () => {
  const started = startReader(() => true);
  expect(await readOnce(started, 'sha256:0', AbortSignal.abort())).toBe(false);
  expect(started.lines).toEqual([]);
});

test('does not request chunks of an unwanted version', async () => {
  const started = startReader(() => false);
  expect(await readOnce(started, 'sha256:1')).toBe(false);
});
