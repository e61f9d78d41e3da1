import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {
  startHostEngine,
  type HostEngine,
  type HostEngineOptions,
} from './fixtures/host_engine';
import {
  eventually,
  HOST,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';

const PATIENCE = 6_000;

/** Longer than a target may be silent before it is suspected. */
const SILENCE = 900;

/** Together longer than that; each of them is shorter. */
const SHORT_SILENCE = 400;
const STALL = 300;

const EVENTS = 3;
const WHOLE_STREAM = 'id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3';

const ROUTE = {
  Host: HOST,
  Service: 'plain',
  TimeoutMs: 6_000,
  TargetLatencyMs: 100,
  MaxAttempts: 2,
};

const STREAM = {
  ...ROUTE,
  Kind: 'stream',
  Service: 'engines',
  GapTargetMs: 300,
};

const ROUTES = [
  {...ROUTE, Name: 'quick', Prefix: '/quick/', Kind: 'safe'},
  {...ROUTE, Name: 'once', Prefix: '/once/', Kind: 'unsafe'},
  {...STREAM, Name: 'going', Prefix: '/going/', Resumable: true},
  {...STREAM, Name: 'fixed', Prefix: '/fixed/', Resumable: false},
];

const AS_ENGINE = {
  Service: 'engines',
  Models: [{Name: 'model', Version: 1, Adapters: []}],
};

let site: HostSite;
let address: string;
let engines: HostEngine[];

beforeEach(async () => {
  site = await startHostSite();
  engines = [];
});

afterEach(async () => {
  await site.close();
  await Promise.all(engines.map(engine => engine.close()));
});

async function startTarget(
  instance: string,
  changes: object = {},
  options: Partial<HostEngineOptions> = {},
): Promise<HostEngine> {
  const engine = await startHostEngine({
    instance,
    version: 1,
    events: EVENTS,
    ...options,
  });
  engines.push(engine);
  site.register(engine, changes);
  return engine;
}

async function serve(): Promise<void> {
  site.configure({}, ROUTES);
  const {settings} = await site.startEntry();
  address = settings.callerAddress;
  await eventually(() => isReady(settings.readinessAddress));
  await eventually(async () => (await ask('quick')).status === 200);
  await eventually(async () => (await ask('fixed')).status === 200);
}

let asked = 0;

async function ask(route: string) {
  asked += 1;
  const isStream = ['going', 'fixed'].includes(route);
  const reply = await send(address, `/${route}/a`, {
    'x-hibiscusbeam-request-id': `request-${asked}`,
    'x-hibiscusbeam-deadline-ms': String(PATIENCE),
    ...(isStream && {'x-hibiscusbeam-model': 'model'}),
  }).catch(() => ({status: undefined, text: 'closed'}));
  return {status: reply.status, text: reply.text.trim()};
}

test('a target that falls silent before its answer and goes on loses no request', async () => {
  const plain = await startTarget('plain');
  const model = await startTarget('model', AS_ENGINE);
  await serve();
  const fault = {kind: 'silent', after: 0, duration: SILENCE} as const;
  for (const engine of [plain, model]) engine.setFault(fault);
  const routes = ['quick', 'once', 'going', 'fixed'];
  const replies = await Promise.all(routes.map(ask));
  expect(replies.map(({status}) => status)).toEqual([200, 200, 200, 200]);
});

test('a target that falls silent within a stream and goes on loses no stream', async () => {
  await startTarget('plain');
  const model = await startTarget('model', AS_ENGINE);
  await serve();
  model.setFault({kind: 'silent', after: 1, duration: SILENCE});
  const replies = await Promise.all(['going', 'fixed'].map(ask));
  for (const {text} of replies) expect(text).toContain(WHOLE_STREAM);
});

test('an answer that arrives while the loop of its entry stands still is passed on', async () => {
  let onAnswered = (): void => undefined;
  const options = {onAnswered: () => onAnswered()};
  const plain = await startTarget('plain', {}, options);
  await startTarget('model', AS_ENGINE);
  await serve();
  plain.setFault({kind: 'silent', after: 0, duration: SHORT_SILENCE});
  onAnswered = () => standStill(STALL);
  expect((await ask('once')).status).toBe(200);
});

function standStill(duration: number): void {
  const until = performance.now() + duration;
  while (performance.now() < until);
}
