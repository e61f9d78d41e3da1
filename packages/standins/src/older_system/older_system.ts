import type {Milliseconds} from '@hibiscusbeam/core';
import {z} from 'zod';
import {createSystemClock} from '../shared/clock';
import {createServer, listenOn, parseBody} from '../shared/server';
import type {StandIn, StandInOptions} from '../shared/server';
import {createOlderSystemHttp} from './http';
import {createLoader} from './loader';

const PERIOD: Milliseconds = 500;

/** Its requests are short. */
const REQUEST_TOKENS = 8;

const ownershipSchema = z.strictObject({
  targets: z.array(z.string()),
  workspaces: z.array(z.string()),
});

/** An engine that the older system may give orders to. */
export interface OlderSystemEngine {
  readonly target: string;
  /** `IP:port` */
  readonly address: string;
}

/** What the older system is started with; it owns all it is given. */
export interface OlderSystemOptions extends StandInOptions {
  /** The platform's `IP:port`. */
  readonly platform: string;
  readonly engines: readonly OlderSystemEngine[];
  readonly workspaces: readonly string[];
  /** The model and label that it keeps loaded on its targets. */
  readonly model: string;
  readonly label: string;
  /** Time between two rounds of orders and requests. */
  readonly period?: Milliseconds;
}

/** Starts the older system, which gives orders and sends requests too. */
export async function startOlderSystem(
  options: OlderSystemOptions,
): Promise<StandIn> {
  const {engines, model, label} = options;
  const clock = options.clock ?? createSystemClock();
  const http = createOlderSystemHttp();
  const loader = createLoader({http, platform: options.platform, model, label});
  const loading = new Map<string, AbortController>();
  const requests = {answered: 0, failed: 0, running: 0};
  let targets: ReadonlySet<string> = new Set(
    engines.map(engine => engine.target),
  );
  let workspaces: readonly string[] = options.workspaces;
  let round = 0;
  let closed = false;

  async function keepLoaded(engine: OlderSystemEngine): Promise<void> {
    if (loading.has(engine.target)) return;
    const abort = new AbortController();
    loading.set(engine.target, abort);
    // A failed load is tried again in the next round.
    await loader
      .load(`http://${engine.address}`, abort.signal)
      .catch(() => undefined);
    loading.delete(engine.target);
  }

  async function sendRequest(
    workspace: string,
    engine: OlderSystemEngine,
  ): Promise<void> {
    const attempt = `older-system/${workspace}/${round}`;
    const prompt = `${workspace} asks ${round}`;
    const body = {attempt, model, prompt, maximumTokens: REQUEST_TOKENS};
    requests.running += 1;
    const answered = await http
      .postJson(`http://${engine.address}/generate`, body)
      .catch(() => false);
    requests.running -= 1;
    requests[answered ? 'answered' : 'failed'] += 1;
  }

  function startRound(): void {
    round += 1;
    const owned = engines.filter(engine => targets.has(engine.target));
    for (const engine of owned) void keepLoaded(engine);
    workspaces.forEach((workspace, position) => {
      const engine = owned[(round + position) % owned.length];
      if (engine !== undefined) void sendRequest(workspace, engine);
    });
  }

  async function run(): Promise<void> {
    while (!closed) {
      startRound();
      await clock.wait(options.period ?? PERIOD);
    }
  }

  /** Transfers and orders for lost targets stop; requests begun finish. */
  function setOwnership(ownership: z.infer<typeof ownershipSchema>): void {
    targets = new Set(ownership.targets);
    workspaces = ownership.workspaces;
    for (const [target, abort] of loading) {
      if (!targets.has(target)) abort.abort();
    }
  }

  const server = createServer();
  server.put('/ownership', (request, reply) => {
    setOwnership(parseBody(ownershipSchema, request));
    return reply.send({});
  });
  server.get('/state', (_request, reply) =>
    reply.send({
      targets: [...targets],
      workspaces,
      requests,
      ...loader.state(),
    }),
  );

  const standIn = await listenOn(server, options.listen);
  void run();
  return {
    address: standIn.address,
    close: async () => {
      closed = true;
      await http.close();
      await standIn.close();
    },
  };
}
