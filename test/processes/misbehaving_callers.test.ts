import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {FleetEntrySettings} from '@hibiscusbeam/fleet';
import {request} from 'undici';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from '../fleet/fixtures/host_caller';
import {startHostEngine, type HostEngine} from '../fleet/fixtures/host_engine';
import {
  eventually,
  freeAddress,
  HOST,
  KEY,
  startHostSite,
  type HostSite,
} from '../fleet/fixtures/host_site';
import {startEntryProcess, type EntryProcess} from '../soak/fleet_process';
import {startCrowd, type Crowd, type CrowdScript} from './crowd';
import {openDescriptors, peakMemory} from './process_resources';

/** Memory of the smallest machine of the sites. */
const MEMORY_MEGABYTES = 250;

const MAX_DESCRIPTORS = 400;

/** Flags of the deployed program. */
const FLAGS = ['--max-old-space-size=192', '--max-semi-space-size=1'];

const MAX_BODY = 4_194_304;
const KILOBYTE = 1_024;
const SAMPLE_PERIOD_MS = 20;

/** Connections that send large bodies, and those that hold descriptors. */
const SENDERS = 80;
const WAITERS = 600;

const HEAD_LINES = [
  'POST /safe/a HTTP/1.1',
  `Host: ${HOST}`,
  `Authorization: Token ${KEY}`,
  'X-Hibiscusbeam-Request-Id: crowd',
  'X-Hibiscusbeam-Deadline-Ms: 60000',
];

const headWith = (line: string): string =>
  `${[...HEAD_LINES, line].join('\r\n')}\r\n\r\n`;

const announced = (length: number): string =>
  headWith(`Content-Length: ${length}`);

const CHUNKED = headWith('Transfer-Encoding: chunked');

const chunkOf = (bytes: number): Buffer =>
  Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`);

function* repeat(part: Buffer, times: number): Generator<Buffer> {
  for (let count = 0; count < times; count += 1) yield part;
}

const LARGE_CHUNK = chunkOf(64 * KILOBYTE);
const SMALL_CHUNK = chunkOf(1);
const SMALL_CHUNKS_A_PACKET = 8_000;
const PIECE = Buffer.alloc(32 * KILOBYTE, 'x');

/** Addresses of an entry that anyone can connect to. */
type Port =
  | 'callerAddress'
  | 'directoryAddress'
  | 'readinessAddress'
  | 'metricsAddress'
  | 'peerAddress';

interface NamedScript extends CrowdScript {
  readonly name: string;
  /** By default the one for callers. */
  readonly port?: Port;
}

const SMALL_REQUEST = HEAD_LINES.slice(0, 3).join('\r\n') + '\r\n\r\n';

const CROWDS: readonly NamedScript[] = [
  {
    name: 'chunked bodies in large chunks that stop short of their end',
    members: SENDERS,
    head: CHUNKED,
    parts: () => repeat(LARGE_CHUNK, MAX_BODY / (64 * KILOBYTE)),
  },
  {
    name: 'chunked bodies in chunks of one byte that stop short of their end',
    members: SENDERS,
    head: CHUNKED,
    parts: () =>
      repeat(Buffer.concat([...repeat(SMALL_CHUNK, SMALL_CHUNKS_A_PACKET)]), 6),
  },
  {
    name: 'chunked bodies in chunks of one byte, each in a packet of its own',
    members: SENDERS,
    head: CHUNKED,
    parts: () => repeat(SMALL_CHUNK, 20_000),
  },
  {
    name: 'bodies far over the limit that are announced',
    members: SENDERS,
    head: announced(100 * MAX_BODY),
    parts: () => repeat(PIECE, (2 * MAX_BODY) / PIECE.length),
  },
  {
    name: 'bodies far over the limit that are not announced',
    members: SENDERS,
    head: CHUNKED,
    parts: () => repeat(LARGE_CHUNK, (2 * MAX_BODY) / (64 * KILOBYTE)),
  },
  {
    name: 'whole bodies of legal size at once',
    members: SENDERS,
    head: announced(MAX_BODY),
    parts: () => [Buffer.alloc(MAX_BODY, 'x')],
  },
  {
    name: 'bodies of legal size at once that stop short of their end',
    members: SENDERS,
    head: announced(MAX_BODY),
    parts: () => [Buffer.alloc(MAX_BODY - 1, 'x')],
  },
  {
    name: 'bodies of legal size in pieces that stop short of their end',
    members: SENDERS,
    head: announced(MAX_BODY),
    parts: () => repeat(PIECE, MAX_BODY / PIECE.length - 1),
  },
  {
    name: 'the first byte of a body',
    members: WAITERS,
    head: announced(MAX_BODY),
    parts: () => [Buffer.from('x')],
  },
  {
    name: 'half a head',
    members: WAITERS,
    head: HEAD_LINES.slice(0, 2).join('\r\n'),
    parts: () => [],
  },
  {name: 'nothing', members: WAITERS, head: '', parts: () => []},
];

/** Further ways to make an entry hold or do more than for ordinary callers. */
const OTHER_CROWDS: readonly NamedScript[] = [
  {
    name: 'requests before the first one is answered',
    members: SENDERS,
    head: '',
    parts: () => repeat(Buffer.from(SMALL_REQUEST.repeat(500)), 10),
  },
  {
    name: 'headers of many lines that stop short of their end',
    members: WAITERS,
    head: HEAD_LINES.slice(0, 2).join('\r\n'),
    parts: () => [Buffer.from('\r\nab:'.repeat(3_000))],
  },
  {
    name: 'trailers without end',
    members: SENDERS,
    head: `${CHUNKED}0\r\n`,
    parts: () => repeat(Buffer.from('a:b\r\n'.repeat(KILOBYTE)), 200),
  },
  {
    name: 'extensions of chunks without end',
    members: SENDERS,
    head: `${CHUNKED}1;`,
    parts: () => repeat(PIECE, 200),
  },
  {
    name: 'the size of a chunk without end',
    members: SENDERS,
    head: CHUNKED,
    parts: () => repeat(Buffer.alloc(PIECE.length, '0'), 200),
  },
  {
    name: 'large bodies to a path without a route',
    members: SENDERS,
    head: announced(MAX_BODY).replace('/safe/', '/none/'),
    parts: () => repeat(PIECE, MAX_BODY / PIECE.length - 1),
  },
  {
    name: 'large bodies with an unknown key',
    members: SENDERS,
    head: announced(MAX_BODY).replace(KEY, 'unknown'),
    parts: () => repeat(PIECE, MAX_BODY / PIECE.length - 1),
  },
  {
    name: 'nothing after the entry has asked for the body',
    members: WAITERS,
    head: announced(MAX_BODY).replace('Host', 'Expect: 100-continue\r\nHost'),
    parts: () => [],
  },
  ...(
    ['directoryAddress', 'readinessAddress', 'metricsAddress'] as const
  ).flatMap((port): readonly NamedScript[] => [
    {
      name: `nothing to its ${port}`,
      port,
      members: WAITERS,
      head: '',
      parts: () => [],
    },
    {
      name: `large bodies to its ${port}`,
      port,
      members: SENDERS,
      head: announced(MAX_BODY),
      parts: () => repeat(PIECE, MAX_BODY / PIECE.length - 1),
    },
    {
      name: `requests to its ${port} before the first one is answered`,
      port,
      members: SENDERS,
      head: '',
      parts: () =>
        repeat(
          Buffer.from('GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(500)),
          4,
        ),
    },
  ]),
  {
    name: 'nothing to its peerAddress',
    port: 'peerAddress',
    members: WAITERS,
    head: '',
    parts: () => [],
  },
];

let site: HostSite;
let settings: FleetEntrySettings;
let engine: HostEngine;
let entry: EntryProcess;
let crowd: Crowd;
let folder: string;
let mostDescriptors: number;
let sampling: NodeJS.Timeout;

beforeEach(async () => {
  site = await startHostSite();
  engine = await startHostEngine({instance: 'one'});
  site.register(engine);
  site.configure();
  folder = mkdtempSync(join(tmpdir(), 'misbehaving-callers-'));
  settings = {
    ...(await site.entrySettings()),
    metricsAddress: await freeAddress(),
    memoryMegabytes: MEMORY_MEGABYTES,
    maxDescriptors: MAX_DESCRIPTORS,
  };
  entry = startEntryProcess({settings, folder, pause: 60_000, flags: FLAGS});
  await eventually(() => isReady(entry.readinessAddress).catch(() => false));
  await eventually(isOrdinaryRequestAnswered);
  mostDescriptors = 0;
  sampling = setInterval(() => {
    const open = openDescriptors(entry.processId() ?? 0);
    mostDescriptors = Math.max(mostDescriptors, open);
  }, SAMPLE_PERIOD_MS);
});

afterEach(async () => {
  clearInterval(sampling);
  crowd.close();
  await entry.close();
  await engine.close();
  await site.close();
  rmSync(folder, {recursive: true});
});

async function isOrdinaryRequestAnswered(): Promise<boolean> {
  const {status} = await send(entry.callerAddress, '/safe/a');
  return status === 200;
}

async function isDirectoryUp(): Promise<boolean> {
  const reply = await request(`http://${settings.directoryAddress}/resolve`);
  await reply.body.dump();
  return reply.statusCode === 200;
}

// Callers decided how much memory and how many descriptors an entry used.
test.each([...CROWDS, ...OTHER_CROWDS])(
  'an entry withstands callers that send $name',
  async script => {
    const processId = entry.processId() ?? 0;
    crowd = startCrowd(settings[script.port ?? 'callerAddress'] ?? '', script);
    await crowd.hasSent();
    expect(entry.processId()).toBe(processId);
    // A caller that is refused tries again.
    await eventually(() => isOrdinaryRequestAnswered().catch(() => false));
    await eventually(() => isReady(entry.readinessAddress).catch(() => false));
    await eventually(() => isDirectoryUp().catch(() => false));
    expect(peakMemory(processId)).toBeLessThan(MEMORY_MEGABYTES * 1_000_000);
    expect(mostDescriptors).toBeLessThanOrEqual(MAX_DESCRIPTORS);
  },
);

test('an entry serves a body of the largest legal size beside ordinary requests', async () => {
  const {callerAddress} = entry;
  crowd = startCrowd(callerAddress, {members: 0, head: '', parts: () => []});
  const replies = await Promise.all([
    send(callerAddress, '/safe/a', {}, 'x'.repeat(MAX_BODY)),
    ...['/safe/b', '/unsafe/c'].map(path => send(callerAddress, path)),
  ]);
  expect(replies.map(({status}) => status)).toEqual([200, 200, 200]);
});
