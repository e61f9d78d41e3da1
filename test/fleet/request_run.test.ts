import {
  ANYWHERE,
  createFirstEventTimes,
  createTargetRegistry,
  type ListedTarget,
  type Route,
} from '@hibiscusbeam/core';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {
  NO_ADMISSION,
  type EntryAdmission,
} from '../../packages/fleet/src/entry/entry_admission';
import {
  createSlotQueue,
  type SlotOutcome,
  type SlotRequest,
} from '../../packages/fleet/src/entry/slot_queue';
import type {AcceptedRequest} from '../../packages/fleet/src/entry/request_acceptance';
import type {RequestRunOptions} from '../../packages/fleet/src/entry/request_context';
import {createRequestRun} from '../../packages/fleet/src/entry/request_run';
import {createRequestTrace} from '../../packages/fleet/src/entry/request_trace';
import {createTimeliness} from '../../packages/fleet/src/entry/timeliness';
import {requestProtocol} from '../../platform/request_protocol';
import {eventually} from './fixtures/host_site';
import {plainTarget} from '../fixtures/placement';
import {arrivedBody} from './fixtures/request_body';

const TIMEOUT = 60_000;

/** Accepts connections and never answers. */
let server: Server;
let connections: number;

beforeEach(async () => {
  connections = 0;
  server = createServer(socket => {
    connections += 1;
    socket.on('error', () => undefined);
    socket.resume();
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
});

afterEach(async () => {
  await new Promise(resolve => server.close(resolve));
});

function target(instance: string): ListedTarget {
  const {port} = server.address() as AddressInfo;
  return plainTarget(instance, {address: `127.0.0.1:${port}`});
}

/** Starts a run of a quarantined request that has got its one trial. */
function startTrial(
  admission: EntryAdmission = NO_ADMISSION,
  changes: Partial<RequestRunOptions> = {},
) {
  const registry = createTargetRegistry({instance: 'entry', zone: 'north'});
  registry.list([target('one'), target('two')], 0);
  const clock = (): number => performance.now();
  const answerTimes = createFirstEventTimes();
  const options = {
    protocol: requestProtocol,
    registry,
    operator: {table: () => undefined},
    places: createSlotQueue(registry, clock),
    timeliness: createTimeliness(answerTimes),
    answerTimes,
    admission,
    quarantine: {isQuarantined: () => true},
    trials: {
      claim: () => Promise.resolve(true),
      retryAfter: () => 1,
      release: () => undefined,
    },
    clock,
    machineClock: clock,
    onQuarantined: () => () => undefined,
    ownLines: () => [],
    ...changes,
  } as unknown as RequestRunOptions;
  const route = {
    name: 'route',
    kind: 'safe',
    timeout: TIMEOUT,
    objective: TIMEOUT,
    attempts: 2,
  } as Route;
  const now = clock();
  const accepted: AcceptedRequest = {
    header: {patience: TIMEOUT} as AcceptedRequest['header'],
    route,
    service: 'plain',
    access: {kind: 'anonymous'},
    destinations: ANYWHERE,
    run: {
      promptTime: 0,
      writingTime: 0,
      tokens: 0,
      answerTokens: 0,
      profile: undefined,
    },
    fingerprint: 'content',
    promptParts: ['part'],
    body: arrivedBody(),
    arrivedAt: now,
    deadline: now + TIMEOUT,
  };
  return createRequestRun(options, {
    request: {
      rawHeaders: [],
      method: 'GET',
      url: '/',
    } as unknown as IncomingMessage,
    response: {} as ServerResponse,
    accepted,
    trace: createRequestTrace(clock),
    progress: {begun: false, lastEventId: undefined, begunAt: undefined},
    buffers: {
      hold: () => undefined,
      scheduleCheck: () => undefined,
      trackTarget: () => undefined,
      releaseAnswers: () => undefined,
    },
    signal: new AbortController().signal,
    endedBy: () => undefined,
  });
}

// The target of a quarantined request's one trial is silent. A hedge alongside
// it could end a second target.
test('nothing is sent alongside the trial of a quarantined request', async () => {
  const run = startTrial();
  const first = await run.perform({kind: 'choosePlace', tried: []});
  if (first.kind !== 'placed' || first.place.kind !== 'place') {
    throw new Error('the trial found no place');
  }
  const {target} = first.place;
  void run.perform({kind: 'send', target, resumeAfter: undefined});
  await eventually(() => connections === 1);
  const second = await run.perform({kind: 'choosePlace', tried: [target]});
  run.end();
  expect(second).toMatchObject({
    kind: 'placed',
    place: {kind: 'noPlace', reason: 'quarantined'},
  });
});

test('a request below the admission level is refused before it waits or is sent', async () => {
  const level = {shares: [], demand: 2, capacity: 1};
  const run = startTrial({
    ...NO_ADMISSION,
    arrive: () => ({kind: 'belowLevel', level}),
  });
  const refused = await run.perform({kind: 'choosePlace', tried: []});
  run.end();
  expect(refused).toMatchObject({
    place: {kind: 'noPlace', reason: 'belowLevel'},
  });
});

test('a second attempt of an admitted request is never refused by the admission level', async () => {
  let decided = 0;
  const run = startTrial({
    ...NO_ADMISSION,
    arrive: () => {
      decided += 1;
      return {kind: 'admitted', by: 'level'};
    },
  });
  const first = await run.perform({kind: 'choosePlace', tried: []});
  if (first.kind !== 'placed' || first.place.kind !== 'place') {
    throw new Error('the request found no place');
  }
  await run.perform({kind: 'choosePlace', tried: [first.place.target]});
  run.end();
  expect(decided).toBe(1);
});

test('a request that waits for a slot is refused as soon as it is quarantined', async () => {
  const quarantined = new Set<string>();
  let notify = (_suspect: string): void => undefined;
  let waiting: AbortSignal | undefined;
  const changes = {
    quarantine: {
      isQuarantined: (suspect: string) => quarantined.has(suspect),
    },
    trials: {claim: () => Promise.resolve(false), retryAfter: () => 7},
    onQuarantined: (listener: typeof notify) => {
      notify = listener;
      return () => undefined;
    },
    places: {
      take: ({signal}: SlotRequest) =>
        new Promise<SlotOutcome>(resolve => {
          waiting = signal;
          signal.onabort = () => resolve({kind: 'abandoned'});
        }),
    },
  } as unknown as Partial<RequestRunOptions>;
  const run = startTrial(NO_ADMISSION, changes);
  const choice = run.perform({kind: 'choosePlace', tried: []});
  await eventually(() => waiting !== undefined);
  quarantined.add('part');
  notify('part');
  expect(await choice).toMatchObject({
    place: {kind: 'noPlace', reason: 'quarantined', retryAfter: 7},
  });
});
