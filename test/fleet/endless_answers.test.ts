import {request} from 'node:http';
import {createServer, type Server, type Socket} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {createEngineControl} from '../../platform/engine_control';
import {isReady} from './fixtures/host_caller';
import type {HostEngine} from './fixtures/host_engine';
import {
  eventually,
  freeAddress,
  HOST,
  KEY,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';

/** The caller's deadline, and how much later it may be answered. */
const PATIENCE = 1_500;
const LATE = 1_000;

/** Growth of the process that one endless answer may cause, and the target. */
const MAX_GROWTH = 64 * 1024 * 1024;

const BLOCK = 65_536;

const HEAD = [
  'HTTP/1.1 200 OK',
  'X-Hibiscusbeam-Request-Id: request-1',
  'X-Hibiscusbeam-Server-Seal: seal-of-one',
];

const headOf = (...lines: readonly string[]): string =>
  `${[...HEAD, ...lines].join('\r\n')}\r\n\r\n`;

const chunkOf = (text: string): string =>
  `${text.length.toString(16)}\r\n${text}\r\n`;

/** What a target sends: a beginning, then the same bytes without end. */
interface EndlessAnswer {
  readonly name: string;
  readonly path: string;
  readonly beginning: string;
  readonly repeated: string;
}

const CHUNKED = 'Transfer-Encoding: chunked';
const LONG_BODY = 'Content-Length: 1000000000000';
const EVENT = 'id: 1\ndata: token 1\n\n';
const FILL = 'x'.repeat(BLOCK);
const FRAGMENTS = 9_999;

const ANSWERS: readonly EndlessAnswer[] = [
  ...['/unsafe/a', '/stream/a'].flatMap(path => [
    {name: 'bytes', path, beginning: '', repeated: FILL},
    {name: 'empty lines', path, beginning: '', repeated: '\r\n'.repeat(999)},
    {
      name: 'a header line',
      path,
      beginning: `${HEAD.join('\r\n')}\r\nX-More: `,
      repeated: FILL,
    },
    {
      name: 'header lines',
      path,
      beginning: `${HEAD.join('\r\n')}\r\n`,
      repeated: 'X-More: more\r\n'.repeat(999),
    },
    {
      name: 'informational heads',
      path,
      beginning: '',
      repeated: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(999),
    },
    {
      name: 'chunk extensions',
      path,
      beginning: `${headOf(CHUNKED)}1;`,
      repeated: FILL,
    },
    {
      name: 'trailers',
      path,
      beginning: `${headOf(CHUNKED)}0\r\n`,
      repeated: 'X-More: more\r\n'.repeat(999),
    },
    {
      name: 'a body in chunks',
      path,
      beginning: headOf(CHUNKED),
      repeated: chunkOf(FILL),
    },
    {
      name: 'a body in chunks of one byte',
      path,
      beginning: headOf(CHUNKED),
      repeated: chunkOf('x').repeat(FRAGMENTS),
    },
    {
      name: 'a failure in chunks of one byte',
      path,
      beginning: headOf(CHUNKED).replace('200 OK', '500 Failed'),
      repeated: chunkOf('x').repeat(FRAGMENTS),
    },
    {
      name: 'a body with a length',
      path,
      beginning: headOf(LONG_BODY),
      repeated: FILL,
    },
    {
      name: 'a body without a length',
      path,
      beginning: headOf('Connection: close'),
      repeated: FILL,
    },
  ]),
  {
    name: 'an event after a whole one',
    path: '/stream/a',
    beginning: headOf('Connection: close') + EVENT,
    repeated: FILL,
  },
  {
    name: 'events without ids',
    path: '/stream/a',
    beginning: headOf('Connection: close') + EVENT,
    repeated: 'data: more\n\n'.repeat(999),
  },
  {
    name: 'events without ids in chunks',
    path: '/stream/a',
    beginning: headOf(CHUNKED) + chunkOf(EVENT),
    repeated: chunkOf('data: more\n\n'.repeat(999)),
  },
  {
    name: 'comment lines in chunks of one byte',
    path: '/stream/a',
    beginning: headOf(CHUNKED) + chunkOf(EVENT),
    repeated: [':', '\n'].map(chunkOf).join('').repeat(FRAGMENTS),
  },
  {
    name: 'empty events',
    path: '/stream/a',
    beginning: headOf('Connection: close') + EVENT,
    repeated: '\n'.repeat(BLOCK),
  },
];

let site: HostSite;
let server: Server;
let address: string;
let open: Set<Socket>;
let answer: EndlessAnswer;

/** Sends without end, as fast as the reader takes it. */
function sendEndlessly(socket: Socket): void {
  socket.write(answer.beginning);
  const bytes = Buffer.from(answer.repeated);
  const more = (): void => {
    while (!socket.destroyed && socket.write(bytes));
    if (!socket.destroyed) socket.once('drain', more);
  };
  more();
}

beforeEach(async () => {
  open = new Set();
  address = await freeAddress();
  const [host, port] = address.split(':');
  server = createServer(socket => {
    open.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => open.delete(socket));
    socket.once('data', () => sendEndlessly(socket));
  });
  await new Promise<void>(resolve =>
    server.listen(Number(port), host, () => resolve()),
  );
  site = await startHostSite();
  site.configure();
});

afterEach(async () => {
  for (const socket of open) socket.destroy();
  server.close();
  await site.close();
});

async function startReadyEntry(): Promise<string> {
  const target = {instance: 'one', address} as HostEngine;
  site.register(target, {}, 'one');
  site.register(
    {...target, instance: 'two'},
    {
      Service: 'engines',
      Models: [{Name: 'model', Version: 1, Adapters: []}],
    },
  );
  const {settings} = await site.startEntry();
  await eventually(
    () => site.lines.filter(({message}) => message === 'target').length >= 2,
  );
  await eventually(() => isReady(settings.readinessAddress));
  return settings.callerAddress;
}

/**
 * The status of a complete answer, or `cut`. Node.js shows a reset after a body
 * without a length as an error of the request only.
 */
function outcomeOf(
  entry: string,
  path: string,
  onBytes: (bytes: Buffer) => void = () => undefined,
): Promise<number | 'cut'> {
  const [host, port] = entry.split(':');
  return new Promise(resolve => {
    const sent = request({
      host,
      port,
      path,
      method: 'POST',
      agent: false,
      headers: {
        host: HOST,
        authorization: `Token ${KEY}`,
        'x-hibiscusbeam-request-id': 'request-1',
        'x-hibiscusbeam-deadline-ms': String(PATIENCE),
        ...(path === '/stream/a' ? {'x-hibiscusbeam-model': 'model'} : {}),
      },
    });
    sent.on('error', () => resolve('cut'));
    sent.on('response', answer => {
      answer.on('error', () => resolve('cut'));
      answer
        .on('data', onBytes)
        .on('end', () =>
          setImmediate(() => resolve(answer.statusCode ?? 'cut')),
        );
    });
    sent.end();
  });
}

/** Result of the last request, by the entry's log. */
function resultInLog(): unknown {
  const line = site.lines.filter(({message}) => message === 'request').at(-1);
  return (line?.fields as {readonly result: unknown}).result;
}

/** Samples how much the process grows. */
function watchGrowth() {
  const before = process.memoryUsage().rss;
  let most = 0;
  const timer = setInterval(() => {
    most = Math.max(most, process.memoryUsage().rss - before);
  }, 20);
  return () => {
    clearInterval(timer);
    return most;
  };
}

for (const endless of ANSWERS) {
  test(`${endless.path} is answered, and not as complete, if a target sends ${endless.name} without end`, async () => {
    answer = endless;
    const entry = await startReadyEntry();
    const growth = watchGrowth();
    const sentAt = performance.now();
    const outcome = await outcomeOf(entry, endless.path);
    const took = performance.now() - sentAt;
    expect([502, 504, 'cut']).toContain(outcome);
    expect(took).toBeLessThan(PATIENCE + LATE);
    expect(resultInLog() === 'timedOut').toBe(endless.name === 'empty lines');
    expect(growth()).toBeLessThan(MAX_GROWTH);
    await eventually(() => open.size === 0);
  });
}

// Guards against an entry that 20 such answers keep busy until their deadlines.
test('a stream is given up after some thousand events without an id, however small they are', async () => {
  answer = ANSWERS.find(({name}) => name === 'empty events')!;
  const entry = await startReadyEntry();
  let received = 0;
  const outcome = await outcomeOf(
    entry,
    answer.path,
    bytes => (received += bytes.length),
  );
  expect(outcome).toBe('cut');
  expect(received).toBeLessThan(BLOCK);
});

for (const endless of ANSWERS.filter(({path}) => path === '/unsafe/a')) {
  test(`an agent's call ends if its engine sends ${endless.name} without end`, async () => {
    answer = endless;
    const engine = createEngineControl(address);
    const growth = watchGrowth();
    const [status, staged] = await Promise.all([
      engine.standing(500),
      engine.readStaged('model', 1),
    ]);
    expect([status.ok, staged.ok]).toEqual([false, false]);
    expect(growth()).toBeLessThan(MAX_GROWTH);
    await eventually(() => open.size === 0);
  });
}
