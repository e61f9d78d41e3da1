import type {EngineReportReply} from '@hibiscusbeam/wire';
import {EventEmitter} from 'node:events';
import {relayOrder} from '@hibiscusbeam/core';
import {afterEach, expect, test} from 'vitest';
import {
  createEngineReports,
  type EngineReports,
} from '../../packages/fleet/src/agent/engine_reports';
import {
  createEngineReportStreams,
  type ReportCall,
} from '../../packages/fleet/src/entry/engine_report_stream';
import {openPeerServer} from '../../packages/fleet/src/link/peer_server';
import type {EngineStatus} from '../../packages/fleet/src/ports';
import {errorFreeLog} from '../fixtures/error_free_log';
import {eventually, freeAddress} from './fixtures/host_site';

/** The reply of an entry that knows no configuration. */
const NO_KNOWLEDGE = {
  namings: [],
  servicesDigest: 0,
  configurationVersion: 0,
  knownUntil: 0,
};

const MAX_PEERS = 10;

const STATUS: EngineStatus = {
  held: [{model: 'model', version: 1}],
  ordering: false,
  running: 0,
  waiting: 0,
  pace: 1,
  memoryShare: undefined,
  born: 1,
};

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

/** An agent's reports to one entry, with a clock controlled by the test. */
async function startReports() {
  let now = 10_000;
  let replies = 0;
  let reported = 0;
  let isAnswering = true;
  const calls: ReportCall[] = [];
  const stopped = new AbortController();
  const streams = createEngineReportStreams(
    () => void (reported += 1),
    () => NO_KNOWLEDGE,
    errorFreeLog,
    stopped.signal,
  );
  const address = await freeAddress();
  const server = await openPeerServer(
    address,
    {
      role: 'entry',
      handlers: {
        reportEngine: call => {
          calls.push(call);
          if (isAnswering) streams.handleStream(call);
          else call.on('data', () => void (reported += 1));
        },
        follow: call => call.end(),
      },
    },
    MAX_PEERS,
  );
  closers.push(() => stopped.abort(), server.close);
  const reports: EngineReports = createEngineReports({
    engineAddress: '127.0.0.1:1',
    zone: 'north',
    namings: () => [],
    clock: () => now,
    log: errorFreeLog,
    onReply: () => void (replies += 1),
  });
  reports.setMembers([
    {
      instance: 'entry',
      role: 'entry',
      zone: 'north',
      address,
      life: 'life of the entry',
    },
  ]);
  closers.push(() => reports.setMembers([]));

  async function report(): Promise<void> {
    const before = reported;
    reports.offer(STATUS, undefined);
    await eventually(() => reported > before);
  }

  /** Lets the entry answer after the given time without reports. */
  async function answerAfter(time: number): Promise<void> {
    now += time;
    const before = replies;
    streams.sendToAll();
    await eventually(() => replies > before);
  }

  return {
    calls,
    report,
    answerAfter,
    pass: (time: number) => void (now += time),
    offer: () => reports.offer(STATUS, undefined),
    replies: () => replies,
    silence: () => void (isAnswering = false),
  };
}

// The receiver of all reports is killed. The other one takes its place, and
// must know at once what engines run.
test('the second receiver gets each report once the first is lost', async () => {
  let now = 10_000;
  const received = new Map<string, number[]>();
  const servers = new Map<string, () => void>();
  const members = await Promise.all(
    ['a', 'b', 'c', 'd'].map(async instance => {
      const address = await freeAddress();
      received.set(instance, []);
      const server = await openPeerServer(
        address,
        {
          role: 'entry',
          handlers: {
            reportEngine: call => {
              call.on('data', ({running}) => {
                received.get(instance)!.push(running);
                call.write(NO_KNOWLEDGE);
              });
              call.on('error', () => undefined);
            },
            follow: call => call.end(),
          },
        },
        MAX_PEERS,
      );
      servers.set(instance, server.close);
      closers.push(server.close);
      const life = `life of ${instance}`;
      return {instance, role: 'entry' as const, zone: 'north', address, life};
    }),
  );
  const reports = createEngineReports({
    engineAddress: '127.0.0.1:1',
    zone: 'north',
    namings: () => [],
    clock: () => now,
    log: errorFreeLog,
    onReply: () => undefined,
  });
  closers.push(() => reports.setMembers([]));
  reports.setMembers(members);
  const [first, second] = relayOrder(members, 'north').map(
    ({instance}) => instance,
  );
  const offer = (running: number): void => {
    now += 100;
    reports.offer({...STATUS, running}, undefined);
  };
  offer(1);
  await eventually(() => received.get(second!)!.length === 1);
  await eventually(() => received.get(first!)!.length === 1);
  for (const running of [2, 3]) {
    offer(running);
    await eventually(() => received.get(first!)!.includes(running));
  }
  expect(received.get(second!)).toEqual([1]);
  servers.get(first!)!();
  // Polls continue until the broken stream is detected.
  await eventually(() => {
    offer(4);
    return received.get(second!)!.includes(4);
  });
  // A report is dropped if the previous one is still in the window.
  await eventually(() => {
    offer(5);
    return received.get(second!)!.includes(5);
  });
});

test('a silent engine does not make its agent close streams on which entries answer', async () => {
  const {calls, report, answerAfter, pass, offer, replies} =
    await startReports();
  await report();
  await eventually(() => replies() > 0);
  await answerAfter(1_000);
  await answerAfter(1_000);
  pass(400);
  offer();
  pass(300);
  await report();
  expect(calls).toHaveLength(1);
});

test('the stream to an entry that answers no report is closed after 2.2 seconds', async () => {
  const {calls, report, pass, offer, silence} = await startReports();
  silence();
  await report();
  pass(2_201);
  offer();
  pass(300);
  await report();
  expect(calls).toHaveLength(2);
});

test('services are sent once on a stream, and again when they have changed', async () => {
  let servicesDigest = 1;
  const sent: unknown[] = [];
  const stopped = new AbortController();
  const streams = createEngineReportStreams(
    () => undefined,
    () => ({
      ...NO_KNOWLEDGE,
      servicesDigest,
      services: {engines: [], origins: []},
    }),
    errorFreeLog,
    stopped.signal,
  );
  const call = Object.assign(new EventEmitter(), {
    writable: true,
    write: ({services}: EngineReportReply) => sent.push(services !== undefined),
    end: () => undefined,
  });
  streams.handleStream(call as unknown as ReportCall);
  call.emit('data', {});
  streams.sendToAll();
  servicesDigest = 2;
  streams.sendToAll();
  streams.sendToAll();
  stopped.abort();
  expect(sent).toEqual([true, false, true, false]);
});
