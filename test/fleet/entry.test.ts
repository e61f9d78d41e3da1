import {connect} from 'node:net';
import {request} from 'undici';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {
  eventually,
  HOST,
  KEY,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';

let site: HostSite;
const engines: HostEngine[] = [];

beforeEach(async () => {
  site = await startHostSite();
});

afterEach(async () => {
  await site.close();
  await Promise.all(engines.splice(0).map(engine => engine.close()));
});

async function startPlain(instance: string): Promise<HostEngine> {
  const engine = await startHostEngine({instance});
  engines.push(engine);
  site.register(engine);
  return engine;
}

async function startModelEngine(instance: string): Promise<HostEngine> {
  const engine = await startHostEngine({instance, version: 1, events: 6});
  engines.push(engine);
  site.register(engine, {
    Service: 'engines',
    Models: [{Name: 'model', Version: 1, Adapters: []}],
  });
  return engine;
}

/** An entry that has read the configuration and the targets. */
async function startReadyEntry(targets: number) {
  site.configure();
  const entry = await site.startEntry();
  const isKnown = () =>
    site.lines.filter(line => line.message === 'target').length >= targets;
  await eventually(() => isKnown() && isReady(entry.settings.readinessAddress));
  return entry;
}

const STREAM = {'x-hibiscusbeam-model': 'model'};

test('forwards a request unchanged and returns its answer', async () => {
  const engine = await startPlain('one');
  const {settings} = await startReadyEntry(1);
  const answer = await send(settings.callerAddress, '/unsafe/a?b=1');
  expect(answer).toMatchObject({status: 200, text: 'done by one'});
  expect(answer.headers['x-hibiscusbeam-server-seal']).toBe('seal-of-one');
  expect(engine.runs[0]).toMatchObject({
    requestId: 'request-1',
    body: 'question',
    headers: {
      host: HOST,
      'x-hibiscusbeam-tenant': 'shop',
      'x-hibiscusbeam-expect-instance': 'one',
    },
  });
  expect(engine.runs[0]?.headers.authorization).toBeUndefined();
});

// The target runs a charge and its answer is lost. A retry would charge twice,
// and so would the caller after a 503 "not run". So the caller gets a 502,
// which leaves open whether it ran.
test('never retries an unsafe request that may have run', async () => {
  const [one, two] = [await startPlain('one'), await startPlain('two')];
  const {settings} = await startReadyEntry(2);
  one.setFault({kind: 'answerLost'});
  two.setFault({kind: 'answerLost'});
  const answer = await send(settings.callerAddress, '/unsafe/a');
  expect(answer.status).toBe(502);
  expect(one.runs.length + two.runs.length).toBe(1);
});

test('retries a safe request after a lost answer', async () => {
  const [one, two] = [await startPlain('one'), await startPlain('two')];
  const {settings} = await startReadyEntry(2);
  one.setFault({kind: 'answerLost'});
  const answers = await Promise.all(
    ['a', 'b', 'c', 'd'].map(id =>
      send(settings.callerAddress, '/safe/a', {
        'x-hibiscusbeam-request-id': id,
      }),
    ),
  );
  expect(answers.map(answer => answer.status)).toEqual([200, 200, 200, 200]);
  expect(two.runs.length).toBe(4);
});

// Forwarded, an answer to another request would expose someone else's data to
// the caller.
test('withholds an answer that belongs to another request', async () => {
  const engine = await startPlain('one');
  const {settings} = await startReadyEntry(1);
  engine.setFault({kind: 'foreignAnswer'});
  const answer = await send(settings.callerAddress, '/unsafe/a');
  expect(answer.status).toBe(502);
});

// A target crashes in the middle of an answer without a length, and its
// connection closes cleanly. Adding a length would declare half a body
// complete.
test('adds no length to an answer without one', async () => {
  const engine = await startPlain('one');
  const {settings} = await startReadyEntry(1);
  engine.setFault({kind: 'unframed'});
  const answer = await send(settings.callerAddress, '/unsafe/a');
  expect(answer).toMatchObject({status: 200, text: 'half'});
  expect(answer.headers['content-length']).toBeUndefined();
  expect(answer.headers['transfer-encoding']).toBeUndefined();
  expect(answer.headers.connection).toBe('close');
});

test('withholds an answer without a length whose target crashed as it ended', async () => {
  const engine = await startPlain('one');
  const {settings} = await startReadyEntry(1);
  engine.setFault({kind: 'unframed', crashes: true});
  const answer = await send(settings.callerAddress, '/unsafe/a');
  expect(answer.status).toBe(502);
});

test('answers 503 with Retry-After if no target accepts the request', async () => {
  const engine = await startPlain('one');
  const {settings} = await startReadyEntry(1);
  engine.setFault({kind: 'full'});
  const answer = await send(settings.callerAddress, '/unsafe/a');
  expect(answer.status).toBe(503);
  expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  expect(engine.runs).toEqual([]);
});

test('answers 401 without a known key and 404 without a route', async () => {
  await startPlain('one');
  const {settings} = await startReadyEntry(1);
  const unknown = {authorization: 'Token nobody'};
  const denied = await send(settings.callerAddress, '/safe/a', unknown);
  expect(denied.status).toBe(401);
  expect((await send(settings.callerAddress, '/none/a')).status).toBe(404);
});

// An engine dies in the middle of an event. The stream resumes at another
// engine: each event arrives once, complete and in order.
test('resumes a broken stream within the same answer', async () => {
  const [one, two] = [
    await startModelEngine('one'),
    await startModelEngine('two'),
  ];
  const {settings} = await startReadyEntry(2);
  one.setFault({kind: 'cutStream', after: 2});
  two.setFault({kind: 'cutStream', after: 4});
  const answer = await send(settings.callerAddress, '/stream/a', STREAM);
  expect(answer.status).toBe(200);
  const ids = [...answer.text.matchAll(/^id: (\d+)$/gm)].map(match => match[1]);
  expect(ids).toEqual(['1', '2', '3', '4', '5', '6']);
  expect(one.runs.length + two.runs.length).toBe(2);
});

// The last engine that may run a stream dies too. What the caller has received
// must not look like a complete answer.
test('cuts off a stream that cannot be resumed', async () => {
  const engine = await startModelEngine('one');
  const {settings} = await startReadyEntry(1);
  engine.setFault({kind: 'cutStream', after: 2});
  await expect(
    send(settings.callerAddress, '/stream/a', STREAM),
  ).rejects.toThrow();
});

test('closes the connection to the target when the caller disconnects', async () => {
  const engine = await startPlain('one');
  const {settings} = await startReadyEntry(1);
  engine.setFault({kind: 'mute'});
  const left = new AbortController();
  const sent = request(`http://${settings.callerAddress}/unsafe/a`, {
    method: 'POST',
    body: 'question',
    headers: {
      host: HOST,
      authorization: `Token ${KEY}`,
      'x-hibiscusbeam-request-id': 'request-1',
    },
    signal: left.signal,
  });
  const run = await eventually(() => engine.runs[0]);
  left.abort();
  await expect(sent).rejects.toThrow();
  await eventually(run.isCut);
});

// While the store is silent, a key may have been revoked. So after the bound no
// request with a key runs, until the store is back.
test('stops accepting keys once their configuration is too old', async () => {
  const engine = await startPlain('one');
  site.configure();
  const entry = await site.startEntry({revocation: 900});
  const isServed = async () =>
    (await send(entry.settings.callerAddress, '/safe/a')).status === 200;
  await eventually(isServed);
  site.store.setFault('silent');
  await eventually(async () => !(await isServed()));
  const before = engine.runs.length;
  const refused = await send(entry.settings.callerAddress, '/safe/a');
  expect(refused).toMatchObject({status: 503, text: 'staleConfiguration\n'});
  expect(engine.runs.length).toBe(before);
  site.store.setFault('none');
  await eventually(isServed);
});

// An entry that is disconnected from the store refuses requests with a key, so
// the directory must stop sending callers there.
test('counts as unready before its configuration is too old', async () => {
  const {settings} = await site.startEntry({revocation: 1_500});
  site.configure();
  await eventually(() => isReady(settings.readinessAddress));
  site.store.setFault('silent');
  await eventually(async () => !(await isReady(settings.readinessAddress)));
  site.store.setFault('none');
  await eventually(() => isReady(settings.readinessAddress));
});

test('accepts a key until it is revoked', async () => {
  await startPlain('one');
  const {settings} = await startReadyEntry(1);
  expect((await send(settings.callerAddress, '/safe/a')).status).toBe(200);
  site.configure({Tenants: [{Name: 'shop', ApiKeys: []}]});
  const isDenied = async () =>
    (await send(settings.callerAddress, '/safe/a')).status === 401;
  await eventually(isDenied);
});

test('sends nothing to a target that is leaving', async () => {
  const [one, two] = [await startPlain('one'), await startPlain('two')];
  const {settings} = await startReadyEntry(2);
  site.register(one, {State: 'draining'});
  await eventually(() =>
    site.lines.some(line => JSON.stringify(line).includes('leaving')),
  );
  const before = one.runs.length;
  for (let count = 0; count < 6; count += 1) {
    await send(settings.callerAddress, '/safe/a');
  }
  expect(one.runs.length).toBe(before);
  expect(two.runs.length).toBe(6);
});

// The store is unavailable for so long that targets can't renew their rows.
// Right after its return the list is empty; requests must still be served.
test('keeps lapsed targets while they may still come back', async () => {
  const engine = await startPlain('one');
  const {settings} = await startReadyEntry(1);
  site.store.setFault('busy');
  await eventually(() =>
    site.lines.some(line => line.message === 'list of targets lost'),
  );
  await new Promise(resolve => setTimeout(resolve, 1_300));
  site.store.remove('servers', engine.instance);
  site.store.setFault('none');
  await eventually(() =>
    site.lines.some(line => line.message === 'list of targets regained'),
  );
  expect((await send(settings.callerAddress, '/safe/a')).status).toBe(200);
});

// An operator stops an entry while it serves a slow request. The request is
// answered completely; new callers are sent elsewhere.
test('a planned stop cuts off no request', async () => {
  const engine = await startModelEngine('one');
  const {settings, running} = await startReadyEntry(1);
  const answer = send(settings.callerAddress, '/stream/a', STREAM);
  await eventually(() => engine.runs.length === 1);
  const stopped = running.stop();
  expect(await isReady(settings.readinessAddress)).toBe(false);
  expect(await answer).toMatchObject({status: 200});
  await stopped;
});

// A caller of the directory sends half of its request and goes silent, like one
// behind a broken link. Waiting for the rest would last until the platform
// kills the entry, with all requests in progress.
test('a planned stop does not wait for an incomplete directory request', async () => {
  const {settings, running} = await startReadyEntry(0);
  const [host, port] = settings.directoryAddress.split(':');
  const caller = connect(Number(port), host);
  caller.on('error', () => undefined);
  caller.write('GET /resolve?Name=site.example HTTP/1.1\r\nHost: a');
  await new Promise(resolve => setTimeout(resolve, 50));
  let hasStopped = false;
  void running.stop().then(() => (hasStopped = true));
  // The whole grace period of the fixture.
  await new Promise(resolve => setTimeout(resolve, 2_000));
  expect(hasStopped).toBe(true);
  caller.destroy();
});

test('the directory lists the entries that are ready', async () => {
  const first = await startReadyEntry(0);
  const second = await site.startEntry();
  const resolveAddresses = async () => {
    const reply = await request(
      `http://${first.settings.directoryAddress}/resolve?Name=${HOST}&Zone=north`,
    );
    const answer = (await reply.body.json()) as {Addresses: string[]};
    return [...answer.Addresses].sort();
  };
  const both = [
    first.settings.callerAddress,
    second.settings.callerAddress,
  ].sort();
  await eventually(
    async () => String(await resolveAddresses()) === String(both),
  );
  void second.running.stop();
  const one = [first.settings.callerAddress];
  await eventually(
    async () => String(await resolveAddresses()) === String(one),
  );
});
