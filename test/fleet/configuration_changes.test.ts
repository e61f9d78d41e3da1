import {hash32} from '@hibiscusbeam/core';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {
  startHostEngine,
  type EngineFault,
  type HostEngine,
} from './fixtures/host_engine';
import {
  eventually,
  HOST,
  KEY,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';
import {
  createKeepAliveCaller,
  type KeepAliveCaller,
  type KeepAliveOutcome,
  type RequestParts,
} from './fixtures/keep_alive_caller';

const SEED = Number(process.env.PROPERTY_SEED ?? 20_261_203);
const CALLERS = 12;
const REQUESTS = 20;
const LARGE = 1_650;
const STREAM_TIME = 10_000;
const STREAM_OBJECTIVE = 2_000;
const MAX_CHANGE_PAUSE = 250;
const MAX_FAULT_DURATION = 600;
const MAX_STALL = 400;
const SHARE_OF_IDLE_TIME = 0.8;

const ENGINE_ROW = {
  Service: 'engines',
  Models: [{Name: 'model', Version: 1, Adapters: []}],
};

/** The parts of the configuration that the operator changes. */
interface ExpectedConfiguration {
  idle: number;
  timeout: number;
  attempts: number;
  hasSecond: boolean;
  isSplit: boolean;
  extraRoutes: number;
  bodyBytes: number;
  keys: readonly string[];
  priority: number;
}

let site: HostSite;
let engines: HostEngine[];
let callers: KeepAliveCaller[];
let address: string;
let expected: ExpectedConfiguration;
let isOver: boolean;

/** The idle times of all configurations so far. */
let idleTimes: number[];

beforeEach(async () => {
  site = await startHostSite();
  engines = [];
  isOver = false;
  idleTimes = [];
  expected = {
    idle: 600,
    timeout: 3_000,
    attempts: 2,
    hasSecond: true,
    isSplit: false,
    extraRoutes: 0,
    bodyBytes: 100_000,
    keys: [KEY],
    priority: 1,
  };
  for (const [instance, row] of [
    ['one', {}],
    ['two', {}],
    ['other', {Service: 'other'}],
    ['model-one', ENGINE_ROW],
    ['model-two', ENGINE_ROW],
  ] as const) {
    const engine = await startHostEngine({instance, version: 1});
    engines.push(engine);
    site.register(engine, row);
  }
  configure();
  const {settings} = await site.startEntry();
  address = settings.callerAddress;
  await eventually(() => isReady(settings.readinessAddress));
  await eventually(async () => (await send(address, '/safe/a')).status === 200);
  callers = Array.from({length: CALLERS}, () => createKeepAliveCaller(address));
});

afterEach(async () => {
  for (const caller of callers) caller.close();
  await site.close();
  await Promise.all(engines.map(engine => engine.close()));
});

function configure(): void {
  idleTimes.push(expected.idle);
  const {timeout, attempts, isSplit, hasSecond, extraRoutes} = expected;
  const route = {
    Host: HOST,
    TimeoutMs: timeout,
    TargetLatencyMs: 400,
    MaxAttempts: attempts,
  };
  const shares = [
    {Service: 'plain', Weight: 1},
    {Service: 'other', Weight: 1},
  ];
  const service = isSplit ? {Split: shares} : {Service: 'plain'};
  // Streams that have begun can only be cut off at the end of their time.
  const stream = {
    ...route,
    Kind: 'stream',
    Service: 'engines',
    TimeoutMs: STREAM_TIME,
    TargetLatencyMs: STREAM_OBJECTIVE,
  };
  const second = {...route, Name: 'second', Prefix: '/second/', Kind: 'safe'};
  const extra = Array.from({length: extraRoutes}, (_, index) => ({
    ...route,
    Name: `extra-${index}`,
    Prefix: `/extra/${index}/`,
    Kind: 'safe',
    Service: 'plain',
  }));
  site.configure({
    Routes: [
      {...route, ...service, Name: 'safe', Prefix: '/safe/', Kind: 'safe'},
      {...route, ...service, Name: 'once', Prefix: '/once/', Kind: 'unsafe'},
      {...stream, Name: 'going', Prefix: '/going/', Resumable: true},
      {...stream, Name: 'fixed', Prefix: '/fixed/', Resumable: false},
      ...(hasSecond ? [{...second, Service: 'other'}] : []),
      ...extra,
    ],
    Services: [
      {Name: 'plain', HealthPath: '/health'},
      ...(hasSecond || isSplit ? [{Name: 'other'}] : []),
      {Name: 'engines', Engine: {Slots: 4, Models: [{Name: 'model'}]}},
    ],
    Limits: {IdleTimeoutMs: expected.idle, BodyBytes: expected.bodyBytes},
    Tenants: [
      {Name: 'shop', ApiKeys: expected.keys, Priority: expected.priority},
    ],
  });
}

type RandomInt = (range: number) => number;

/** Random numbers that depend only on the seed and on `who`. */
function createRandomInt(who: string): RandomInt {
  let draws = 0;
  return range => hash32(`${SEED} ${who} ${(draws += 1)}`) % range;
}

function change(random: RandomInt): void {
  expected = {...expected, keys: [KEY], bodyBytes: 100_000};
  const changes: readonly (() => void)[] = [
    () => (expected.idle = 200 + random(2_000)),
    () => (expected.timeout = 800 + random(3_000)),
    () => (expected.attempts = 1 + random(3)),
    () => (expected.hasSecond = !expected.hasSecond),
    () => (expected.isSplit = !expected.isSplit),
    () => (expected.extraRoutes = random(2) * (LARGE + random(LARGE))),
    () => (expected.bodyBytes = 2_000),
    () => (expected.keys = []),
    () => (expected.priority = random(3)),
    configure,
    () => blockEventLoop(50 + random(MAX_STALL)),
    () => site.store.writeBytes('op', 'config', Buffer.from('{')),
  ];
  changes[random(changes.length)]?.();
  configure();
}

function nextFault(random: RandomInt): EngineFault {
  switch (random(5)) {
    case 0:
      return {kind: 'silent', after: 0, duration: 20 + random(300)};
    case 1:
      return {kind: 'silent', after: 0, duration: 500 + random(1_000)};
    case 2:
      return {kind: 'silent', after: 1, duration: 20 + random(1_500)};
    case 3:
      return {kind: 'full'};
    default:
      return {kind: 'none'};
  }
}

function partsOf(random: RandomInt, requestId: string): RequestParts {
  const routes = ['safe', 'once', 'going', 'fixed', 'second', 'extra/7'];
  const route = routes[random(routes.length)] ?? 'safe';
  const isStream = route === 'going' || route === 'fixed';
  const head = [
    `POST /${route}/a HTTP/1.1`,
    `Host: ${HOST}`,
    `Authorization: Token ${KEY}`,
    `X-Hibiscusbeam-Request-Id: ${requestId}`,
    `X-Hibiscusbeam-Deadline-Ms: ${isStream ? STREAM_TIME : 1_000 + random(3_000)}`,
    ...(isStream ? ['X-Hibiscusbeam-Model: model'] : []),
  ].join('\r\n');
  const body = 'b'.repeat(10 + random(6_000));
  const half = Math.floor(body.length / 2);
  const length = `Content-Length: ${body.length}`;
  switch (random(4)) {
    case 0:
      return [`${head}\r\n${length}\r\n\r\n${body}`];
    case 1:
      return [
        `${head}\r\n${length}\r\nExpect: 100-continue\r\n\r\n`,
        random(50),
        body,
      ];
    case 2:
      return [
        head.slice(0, 30),
        random(80),
        `${head.slice(30)}\r\n${length}\r\n\r\n${body.slice(0, half)}`,
        random(80),
        body.slice(half),
      ];
    default:
      return [
        `${head}\r\nTransfer-Encoding: chunked\r\n\r\n`,
        `${half.toString(16)}\r\n${body.slice(0, half)}\r\n`,
        random(80),
        '0\r\n\r\n',
      ];
  }
}

/**
 * The idle time in force for callers: a shorter one applies as soon as it is
 * written.
 */
function idleTime(): number {
  const inForce = site.lines.findLast(
    ({message}) => message === 'configuration in force',
  );
  const {version} = inForce?.fields as {readonly version: number};
  return Math.min(expected.idle, idleTimes[version - 1] ?? 0);
}

async function call(caller: KeepAliveCaller, who: string) {
  const random = createRandomInt(who);
  const ended: {
    readonly request: string;
    readonly outcome: KeepAliveOutcome;
  }[] = [];
  for (let sent = 0; sent < REQUESTS; sent += 1) {
    await sleep(
      random(10) === 0 ? SHARE_OF_IDLE_TIME * idleTime() : random(60),
    );
    const request = `${who}-${sent}`;
    const outcome = await caller.send(partsOf(random, request));
    ended.push({request, outcome});
  }
  return ended;
}

async function changeUntilOver(): Promise<void> {
  const random = createRandomInt('operator');
  while (!isOver) {
    await sleep(20 + random(MAX_CHANGE_PAUSE));
    change(random);
  }
}

async function disturbUntilOver(engine: HostEngine): Promise<void> {
  const random = createRandomInt(engine.instance);
  while (!isOver) {
    engine.setFault(nextFault(random));
    await sleep(20 + random(MAX_FAULT_DURATION));
  }
}

/**
 * Blocks the event loop, like a configuration that is large for its machine.
 */
function blockEventLoop(duration: number): void {
  const until = performance.now() + duration;
  while (performance.now() < until);
}

function sleep(duration: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}

test('each request during changes of the configuration gets a whole answer or a refusal', async () => {
  const disturbances = [changeUntilOver(), ...engines.map(disturbUntilOver)];
  const calls = callers.map((caller, index) => call(caller, `caller-${index}`));
  const ended = (await Promise.all(calls)).flat();
  isOver = true;
  await Promise.all(disturbances);
  const lost = ended.filter(({outcome}) => outcome.kind !== 'answered');
  expect(lost).toEqual([]);
  expect(ended.some(({outcome}) => isServed(outcome))).toBe(true);
});

function isServed(outcome: KeepAliveOutcome): boolean {
  return outcome.kind === 'answered' && outcome.status === 200;
}
