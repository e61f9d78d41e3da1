import {request} from 'undici';
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {EngineFault, HostEngine} from './fixtures/host_engine';
import {eventually, HOST, KEY} from './fixtures/host_site';
import {
  AS_ENGINE,
  SILENCE_MS,
  startShortObjectiveSite,
  WHOLE_STREAM,
  type ShortObjectiveSite,
} from './fixtures/short_objective_site';

/**
 * Longer than a target may be silent on the route with the longer objective.
 */
const LONG_SILENCE = 2_000;

/** Longer than callers wait for an answer. */
const LONG_STALL = 8_000;

let fixture: ShortObjectiveSite;
const startTarget: ShortObjectiveSite['startTarget'] = (...args) =>
  fixture.startTarget(...args);
const serve = () => fixture.serve();
const sendRequest = (route: string) => fixture.sendRequest(route);

beforeEach(async () => {
  fixture = await startShortObjectiveSite();
});

afterEach(() => fixture.close());

async function serveByTwo(): Promise<void> {
  await Promise.all([
    ...['one', 'two'].map(name => startTarget(name)),
    ...['three', 'four'].map(name => startTarget(name, AS_ENGINE)),
  ]);
  await serve();
  await eventually(() => {
    const lines = JSON.stringify(fixture.site.lines);
    return fixture.engines.every(({instance}) => lines.includes(instance));
  });
}

/**
 * Sets each fault on the next target that runs a request; returns these
 * targets.
 */
function injectFaultsInTurn(...faults: readonly EngineFault[]): HostEngine[] {
  const begun: HostEngine[] = [];
  fixture.setOnRun(engine => {
    engine.setFault(faults[begun.length] ?? {kind: 'none'});
    begun.push(engine);
  });
  return begun;
}

function silentFor(duration: number, after: number): EngineFault {
  return {kind: 'silent', duration, after};
}

const lastRun = (engine: HostEngine | undefined) => engine?.runs.at(-1);

/** The fields of the last request's log line, which list its attempts. */
function lastAttempts(): string {
  const lines = fixture.site.lines.filter(({message}) => message === 'request');
  return JSON.stringify(lines.at(-1)?.fields);
}

test('a second target answers in place of one that stays silent', async () => {
  await serveByTwo();
  for (const route of ['quick', 'going']) {
    const begun = injectFaultsInTurn({kind: 'mute'});
    expect((await sendRequest(route)).status).toBe(200);
    expect(begun).toHaveLength(2);
    await eventually(() => lastRun(begun[0])?.isCut());
    expect(lastRun(begun[1])?.isCut()).toBe(false);
  }
});

test('a silent target that resumes answers before a second one that is silent', async () => {
  await serveByTwo();
  for (const route of ['quick', 'going']) {
    const begun = injectFaultsInTurn(silentFor(SILENCE_MS, 0), {kind: 'mute'});
    expect((await sendRequest(route)).status).toBe(200);
    expect(begun).toHaveLength(2);
    await eventually(() => lastRun(begun[1])?.isCut());
    expect(lastRun(begun[0])?.isCut()).toBe(false);
  }
});

test('a stream whose target stays silent midway continues at a second one', async () => {
  await serveByTwo();
  const begun = injectFaultsInTurn(silentFor(LONG_STALL, 1));
  expect((await sendRequest('going')).text).toBe(
    `${WHOLE_STREAM}\ndata: token 3`,
  );
  expect(lastRun(begun[1])?.headers['last-event-id']).toBe('1');
  await eventually(() => lastRun(begun[0])?.isCut());
});

test('a stream whose silent target resumes drops a second one that is silent', async () => {
  await serveByTwo();
  const begun = injectFaultsInTurn(silentFor(SILENCE_MS, 1), {kind: 'mute'});
  expect((await sendRequest('going')).text).toBe(
    `${WHOLE_STREAM}\ndata: token 3`,
  );
  expect(lastRun(begun[1])?.headers['last-event-id']).toBe('1');
  await eventually(() => lastRun(begun[1])?.isCut());
});

test('a plain answer that stops midway is requested from another target', async () => {
  await serveByTwo();
  const begun = injectFaultsInTurn(silentFor(LONG_STALL, 1));
  expect(await sendRequest('quick')).toMatchObject({status: 200});
  expect(begun).toHaveLength(2);
});

test('a second target that fails leaves the silent one to answer', async () => {
  await serveByTwo();
  const begun = injectFaultsInTurn(silentFor(SILENCE_MS, 0), {
    kind: 'answerLost',
  });
  const answer = await sendRequest('quick');
  expect(answer).toEqual({
    status: 200,
    text: `done by ${begun[0]?.instance}`,
  });
  expect(begun).toHaveLength(2);
});

test('a silent target at whose address nothing listens ends its request before the deadline', async () => {
  const plain = await startTarget('plain');
  await startTarget('model', AS_ENGINE);
  await serve();
  plain.setFault({kind: 'mute'});
  fixture.setOnRun(engine => engine.stopListening());
  expect(await sendRequest('once')).toEqual({
    status: 502,
    text: 'connectionLost',
  });
});

test('an answer that arrives while the event loop is stalled is not counted as silence of its target', async () => {
  const onAnswered = (): void => blockEventLoop(300);
  let isBlocking = false;
  const plain = await startTarget(
    'plain',
    {},
    {onAnswered: () => isBlocking && onAnswered()},
  );
  await startTarget('model', AS_ENGINE);
  await serve();
  plain.setFault(silentFor(400, 0));
  isBlocking = true;
  expect((await sendRequest('once')).status).toBe(200);
  expect(lastAttempts()).not.toContain('silent');
});

test('a caller that reads nothing does not make its target count as silent', async () => {
  await startTarget('plain');
  const options = {events: 40, eventSize: 500_000, pause: 1};
  await startTarget('model', AS_ENGINE, options);
  await serve();
  const reply = await request(`http://${fixture.address()}/going/a`, {
    method: 'POST',
    body: 'question',
    headers: {
      host: HOST,
      authorization: `Token ${KEY}`,
      ...fixture.headersOf('going'),
    },
  });
  await new Promise(resolve => setTimeout(resolve, SILENCE_MS));
  expect(await reply.body.text()).toContain('id: 40\n');
  expect(lastAttempts()).not.toContain('silent');
});

function blockEventLoop(duration: number): void {
  const until = performance.now() + duration;
  while (performance.now() < until);
}

test('a request at a target that stays silent is answered before its entry ends', async () => {
  const plain = await startTarget('plain');
  await startTarget('model', AS_ENGINE);
  await serve();
  plain.setFault({kind: 'mute'});
  let status: number | undefined;
  const pendingReply = sendRequest('once').then(
    reply => (status = reply.status),
  );
  await eventually(() => lastRun(plain)?.requestId === fixture.lastId());
  await fixture.stopEntry();
  expect(status).toBe(504);
  await pendingReply;
});

test('a slot that becomes available while the only target stays silent is used', async () => {
  await Promise.all([startTarget('one'), startTarget('model', AS_ENGINE)]);
  await serve();
  const begun = injectFaultsInTurn({kind: 'mute'});
  const answer = sendRequest('quick');
  await eventually(() => begun.length === 1);
  await new Promise(resolve => setTimeout(resolve, 1_500));
  await startTarget('late');
  expect((await answer).status).toBe(200);
});

test('a leaving target that accepts no more connections finishes the request it runs', async () => {
  const plain = await startTarget('plain');
  await startTarget('model', AS_ENGINE);
  await serve();
  plain.setFault(silentFor(LONG_SILENCE, 0));
  fixture.setOnRun(engine => {
    engine.stopListening();
    fixture.site.register(engine, {State: 'draining'});
  });
  expect(await sendRequest('slow')).toEqual({
    status: 200,
    text: 'done by plain',
  });
  expect(fixture.site.lines.map(({message}) => message)).not.toContain(
    'target ended under a request',
  );
});
