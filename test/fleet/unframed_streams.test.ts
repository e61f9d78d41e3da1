import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import type {EngineFault, EngineRun, HostEngine} from './fixtures/host_engine';
import {eventually, HOST, KEY} from './fixtures/host_site';
import {
  AS_ENGINE,
  blockEventLoop,
  startShortObjectiveSite,
  WHOLE_STREAM,
  type ShortObjectiveSite,
} from './fixtures/short_objective_site';
import {sendOnSocket} from './fixtures/socket_caller';

/** Long enough for a target to restart. */
const STALL_MS = 800;

let fixture: ShortObjectiveSite;

beforeEach(async () => {
  fixture = await startShortObjectiveSite();
  await fixture.startTarget('plain');
  const engines = await Promise.all(
    ['one', 'two'].map(name => fixture.startTarget(name, AS_ENGINE)),
  );
  await fixture.serve();
  await eventually(() => {
    const lines = JSON.stringify(fixture.site.lines);
    return engines.every(({instance}) => lines.includes(instance));
  });
});

afterEach(() => fixture.close());

/** Sets the fault on the first target that runs a request. */
function injectFault(fault: EngineFault): readonly HostEngine[] {
  const begun: HostEngine[] = [];
  fixture.setOnRun(engine => {
    engine.setFault(begun.length === 0 ? fault : {kind: 'none'});
    begun.push(engine);
  });
  return begun;
}

test('a stream that ends with its connection is forwarded', async () => {
  const begun = injectFault({
    kind: 'unframedStream',
    breaksAfter: undefined,
    by: 'end',
  });
  const {status, text} = await fixture.sendRequest('going');
  expect(begun).toHaveLength(1);
  expect(status).toBe(200);
  expect(text).toContain(WHOLE_STREAM);
});

async function checkResumed(by: 'crash' | 'end' | 'halfEvent', after: number) {
  const begun = injectFault({kind: 'unframedStream', breaksAfter: after, by});
  const {status, text} = await fixture.sendRequest('going');
  expect(begun).toHaveLength(2);
  expect(status).toBe(200);
  expect(text).toContain(WHOLE_STREAM);
}

test.each([0, 1, 2])(
  'a stream whose target crashes after %i events and closes its connection is resumed at another target',
  after => checkResumed('crash', after),
);

// A target that is leaving exits at the end of its draining time.
test('a stream whose leaving target exits in the middle of it is resumed at another target', async () => {
  for (const engine of fixture.engines) engine.setLeaving(true);
  await checkResumed('crash', 1);
});

test.each([0, 1, 2])(
  'a stream that ends with its connection inside an event, after %i others, is resumed at another target',
  after => checkResumed('halfEvent', after),
);

test('a stream that ends with its connection without an event is resumed at another target', () =>
  checkResumed('end', 0));

/** How the connection of a caller on a socket of its own ends. */
async function endOfStream(
  route = 'fixed',
  headers: Readonly<Record<string, string>> = {},
): Promise<string> {
  const {received} = sendOnSocket(fixture.address(), `/${route}/a`, {
    Host: HOST,
    Authorization: `Token ${KEY}`,
    ...fixture.headersOf(route),
    ...headers,
  });
  return (await received).end;
}

test.each(['crash', 'halfEvent'] as const)(
  'a stream without a length that is cut by a %s and may not be repeated does not end like a whole one',
  async by => {
    injectFault({kind: 'unframedStream', breaksAfter: undefined, by: 'end'});
    expect(await endOfStream()).toBe('end');
    injectFault({kind: 'unframedStream', breaksAfter: 1, by});
    expect(await endOfStream()).toBe('ECONNRESET');
  },
);

test('a stream without a length that ends while its entry is stalled does not end like a whole one', async () => {
  fixture.setOnRun(engine => {
    engine.setFault({
      kind: 'unframedStream',
      breaksAfter: undefined,
      by: 'end',
    });
    setTimeout(() => blockEventLoop(STALL_MS), 1);
  });
  expect(await endOfStream()).toBe('ECONNRESET');
});

describe('a stream without a length whose target falls silent does not end like a whole one', () => {
  beforeEach(() => {
    injectFault({kind: 'unframedStream', breaksAfter: 1, by: 'silence'});
  });

  test("at its caller's deadline", async () => {
    const deadline = {'x-hibiscusbeam-deadline-ms': '1200'};
    expect(await endOfStream('fixed', deadline)).toBe('ECONNRESET');
  });

  test("at its route's timeout", async () => {
    expect(await endOfStream('brief')).toBe('ECONNRESET');
  });

  test('at the end of a planned stop', async () => {
    const ended = endOfStream();
    await eventually(() => fixture.engines.some(({runs}) => runs.some(isLast)));
    await fixture.stopEntry();
    expect(await ended).toBe('ECONNRESET');
  });

  const isLast = ({requestId}: EngineRun): boolean =>
    requestId === fixture.lastId();
});
