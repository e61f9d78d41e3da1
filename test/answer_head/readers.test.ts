import {createHttpPlatform} from '@hibiscusbeam/platform';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {createEntryExchange} from '../../packages/daemon/src/caller_client/exchange';
import {createOlderSystemClient} from '../../packages/daemon/src/older_system/older_system_client';
import {createEngineClient} from '../../packages/daemon/src/targets/engine_client';
import {createPlainServiceClient} from '../../packages/daemon/src/targets/plain_service_client';
import {callHttp} from '../../packages/fleet/src/link/http_calls';
import {createOperatorClient} from '../../packages/hibiscusbeam/src/operator/operator_client';
import {createEngineControl} from '../../platform/engine_control';
import {createStoreClient} from '../../platform/store_client';
import {createVersionOrigin} from '../../platform/version_origin';
import {
  breakHead,
  BROKEN_HEADS,
  SOUND_HEAD,
  type BrokenHead,
} from '../fleet/fixtures/broken_heads';
import {startRawTarget, type RawTarget} from '../fleet/fixtures/raw_target';

const TIMEOUT = 2_000;

const OPERATOR_KEY = 'operator-key';

const EMPTY_LISTS = {
  targets: [],
  workspaces: [],
  busyTargets: [],
  busyWorkspaces: [],
};

const CONTENT = {model: 'model', version: 1, digests: []};

/** A client that reads answers, and a body that it understands. */
interface Reader {
  readonly name: string;
  readonly body: unknown;
  /** Whether the client takes the answer of the server at `address`. */
  readonly takes: (address: string) => Promise<boolean>;
}

const callOf = (address: string) =>
  ({address, method: 'GET', path: '/', timeout: TIMEOUT}) as const;

const platformAt = (address: string) =>
  createHttpPlatform({url: `http://${address}`, timeout: TIMEOUT});

/** Takes the first part of a chunk. */
async function takesFirst(
  parts: AsyncIterable<{readonly ok: boolean}>,
): Promise<boolean> {
  for await (const part of parts) return part.ok;
  return false;
}

const READERS: readonly Reader[] = [
  {
    name: 'a call over a connection of its own',
    body: 'answer',
    takes: async address => (await callHttp(callOf(address))).ok,
  },
  {
    name: 'a call over a kept connection',
    body: 'answer',
    takes: async address =>
      (await callHttp({...callOf(address), connection: 'kept'})).ok,
  },
  {
    name: "an agent's read of its engine's state",
    body: {Models: []},
    takes: async address =>
      (await createEngineControl(address).standing(TIMEOUT)).ok,
  },
  {
    name: "an agent's read of a staged chunk",
    body: 'chunk',
    takes: async address =>
      (await createEngineControl(address).readStaged('model', 1)).ok,
  },
  {
    name: 'a read of the store',
    body: {Rows: [], Ver: 1, NowMs: 1},
    takes: async address =>
      (await createStoreClient(address).rows('servers', TIMEOUT)).ok,
  },
  {
    name: 'a write to the store',
    body: {Ver: 1, NowMs: 1},
    takes: async address =>
      (await createStoreClient(address).put('status', 'key', {}, TIMEOUT)).ok,
  },
  {
    name: "a read of a version's digests",
    body: {Model: 'model', Version: 1, Digests: []},
    takes: async address =>
      (await createVersionOrigin().content(address, 'model', 1)).ok,
  },
  {
    name: 'a read of a chunk from the origin',
    body: 'chunk',
    takes: address => {
      const {signal} = new AbortController();
      const origin = createVersionOrigin();
      return takesFirst(origin.chunk(address, CONTENT, 0, signal));
    },
  },
  {
    name: 'a read of the table service',
    body: {row: null},
    takes: async address => (await platformAt(address).table.read('key')).ok,
  },
  {
    name: 'a write to the table service',
    body: {outcome: {kind: 'committed'}},
    takes: async address => {
      const {table} = platformAt(address);
      return (await table.commit({conditions: [], writes: []})).ok;
    },
  },
  {
    name: 'a read of the weight store',
    body: 'chunk',
    takes: address => {
      const {signal} = new AbortController();
      return takesFirst(platformAt(address).weights.chunk('digest', signal));
    },
  },
  {
    name: 'an order to an engine',
    body: {},
    takes: async address => {
      const engine = createEngineClient(`http://${address}`, 'agent');
      const reply = await engine.order({} as never, {} as never);
      await engine.close();
      return reply.ok;
    },
  },
  {
    name: 'a call of a plain service',
    body: {attempt: 'attempt', result: 1},
    takes: async address => {
      const service = createPlainServiceClient(`http://${address}`);
      const {signal} = new AbortController();
      const reply = await service.call(
        'attempt',
        'charge',
        Buffer.of(),
        signal,
      );
      await service.close();
      // A refusal would tell the caller that nothing has run.
      return reply.ok || reply.val.kind === 'refused';
    },
  },
  {
    name: 'a generation by an engine',
    body: {kind: 'end', attempt: 'attempt', count: 0, versionDigest: ''},
    takes: async address => {
      const engine = createEngineClient(`http://${address}`, 'agent');
      const {signal} = new AbortController();
      const frames = [];
      for await (const frame of engine.generate({} as never, signal)) {
        frames.push(frame);
      }
      await engine.close();
      // After a refusal, its caller would be told that it has not run.
      return frames.some(frame => frame.ok || frame.val.kind === 'refused');
    },
  },
  {
    name: "a caller's request to an entry",
    body: {},
    takes: async entry => {
      const exchange = createEntryExchange('key');
      const method = 'GET';
      const reply = await exchange.send({
        entry,
        method,
        path: '/',
        timeout: TIMEOUT,
      });
      const isTaken = reply.kind === 'response';
      await exchange.close();
      return isTaken;
    },
  },
  {
    name: "a read of the older system's state",
    body: {generation: 1, ...EMPTY_LISTS},
    takes: async address => {
      const client = createOlderSystemClient(`http://${address}`);
      const state = await client.state();
      await client.close();
      return state !== undefined;
    },
  },
  {
    name: "an operator's request to an entry",
    body: {plans: []},
    takes: async address => {
      const entry = `http://${address}`;
      const client = createOperatorClient({entry, key: OPERATOR_KEY});
      return (await client.list()).ok;
    },
  },
];

describe.each(READERS)('$name', ({body, takes}) => {
  let server: RawTarget;

  beforeAll(async () => {
    server = await startRawTarget('server');
  });

  afterAll(() => server.close());

  function answerWith(head: BrokenHead): void {
    const text = typeof body === 'string' ? body : `${JSON.stringify(body)}\n`;
    server.setAnswer(request =>
      breakHead(head, {status: '200', body: text}, request),
    );
  }

  test('takes an answer with a sound head', async () => {
    answerWith(SOUND_HEAD);
    expect(await takes(server.address)).toBe(true);
  });

  test('takes no answer with a broken head', async () => {
    const taken: string[] = [];
    for (const head of BROKEN_HEADS) {
      answerWith(head);
      if (await takes(server.address)) taken.push(head.name);
    }
    expect(taken).toEqual([]);
  });
});
