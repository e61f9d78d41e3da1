import {randomUUID} from 'node:crypto';
import type {Milliseconds} from '@hibiscusbeam/core';
import * as z from 'zod';
import {createSystemClock} from '../shared/clock';
import {createServer, listenOn, parseBody, sendError} from '../shared/server';
import type {StandIn, StandInOptions} from '../shared/server';
import {createOlderSystemHttp} from './http';
import {createLoader} from './loader';

const DEFAULT_PERIOD: Milliseconds = 500;

/** Tokens per request; the older system's requests are short. */
const REQUEST_TOKENS = 8;

const ownershipSchema = z.strictObject({
  targets: z.array(z.string()),
  workspaces: z.array(z.string()),
  /** Absent if a test sets the ownership directly. */
  generation: z.int().nonnegative().optional(),
});

const callSchema = z.strictObject({
  workspace: z.string(),
  body: z.looseObject({reference: z.string().min(1)}),
});

/** An engine that the older system may send orders to. */
export interface OlderSystemEngine {
  readonly target: string;
  /** `IP:port` */
  readonly address: string;
}

/** A plain service that the older system may call. */
export type OlderSystemService = OlderSystemEngine;

/** Options of the older system; it owns all targets and workspaces in them. */
export interface OlderSystemOptions extends StandInOptions {
  /** The platform's `IP:port`. */
  readonly platform: string;
  readonly engines: readonly OlderSystemEngine[];
  readonly services?: readonly OlderSystemService[];
  readonly workspaces: readonly string[];
  /** The model and label that it keeps loaded on its targets. */
  readonly model: string;
  readonly label: string;
  /** Time between two rounds of orders and requests. */
  readonly period?: Milliseconds;
  /** Repeats its orders in each round, even if the version is loaded. */
  readonly reorder?: boolean;
}

/** Starts the older system, which sends orders and requests. */
export async function startOlderSystem(
  options: OlderSystemOptions,
): Promise<StandIn> {
  const {engines, model, label} = options;
  const clock = options.clock ?? createSystemClock();
  const http = createOlderSystemHttp();
  const services = options.services ?? [];
  const reorder = options.reorder ?? false;
  const {platform} = options;
  const loader = createLoader({http, platform, model, label, reorder});
  const loading = new Map<string, AbortController>();
  const requests = {answered: 0, failed: 0, running: 0};
  const inProgress: {workspace: string; target: string}[] = [];
  let generation = 0;
  let targets: ReadonlySet<string> = new Set(
    [...engines, ...services].map(({target}) => target),
  );
  let workspaces: readonly string[] = options.workspaces;
  let round = 0;
  let closed = false;

  async function ensureLoaded(engine: OlderSystemEngine): Promise<void> {
    if (loading.has(engine.target)) return;
    const abort = new AbortController();
    loading.set(engine.target, abort);
    // A failed load is retried in the next round.
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
    await trackInProgress(workspace, engine.target, () =>
      http.postJson(`http://${engine.address}/generate`, body),
    );
  }

  async function trackInProgress(
    workspace: string,
    target: string,
    send: () => Promise<boolean>,
  ): Promise<boolean> {
    const entry = {workspace, target};
    inProgress.push(entry);
    requests.running += 1;
    const answered = await send().catch(() => false);
    requests.running -= 1;
    inProgress.splice(inProgress.indexOf(entry), 1);
    requests[answered ? 'answered' : 'failed'] += 1;
    return answered;
  }

  /** Returns a service that it may call for the workspace, if it owns both. */
  function findOwnedService(workspace: string): OlderSystemService | undefined {
    if (!workspaces.includes(workspace)) return undefined;
    return services.find(({target}) => targets.has(target));
  }

  function startRound(): void {
    round += 1;
    const owned = engines.filter(engine => targets.has(engine.target));
    for (const engine of owned) void ensureLoaded(engine);
    workspaces.forEach((workspace, position) => {
      const engine = owned[(round + position) % owned.length];
      if (engine !== undefined) void sendRequest(workspace, engine);
    });
  }

  async function run(): Promise<void> {
    while (!closed) {
      startRound();
      await clock.wait(options.period ?? DEFAULT_PERIOD);
    }
  }

  /** Stops transfers and orders for lost targets; started requests finish. */
  function setOwnership(ownership: z.infer<typeof ownershipSchema>): void {
    generation = ownership.generation ?? generation;
    targets = new Set(ownership.targets);
    workspaces = ownership.workspaces;
    for (const [target, abort] of loading) {
      if (!targets.has(target)) abort.abort();
    }
  }

  const server = createServer();
  server.put('/ownership', (request, reply) => {
    const ownership = parseBody(ownershipSchema, request);
    // An outdated update by a lagging entry would take back what has moved.
    if ((ownership.generation ?? generation) < generation) {
      return sendError(reply, 409, 'staleGeneration');
    }
    setOwnership(ownership);
    return reply.send({});
  });
  // For callers of the older system: the call is answered, surely not run, or
  // its outcome is unknown.
  server.post<{Params: {operation: string}}>(
    '/calls/:operation',
    async (request, reply) => {
      const {workspace, body} = parseBody(callSchema, request);
      const service = findOwnedService(workspace);
      if (service === undefined) return reply.send({outcome: 'notRun'});
      const url = `http://${service.address}/calls/${request.params.operation}`;
      const headers = {'x-attempt': `older-system/${randomUUID()}`};
      const answered = await trackInProgress(workspace, service.target, () =>
        http.postJson(url, body, headers),
      );
      const outcome = answered ? 'answered' : 'outcomeUnknown';
      return reply.send({outcome});
    },
  );
  server.get('/state', (_request, reply) =>
    reply.send({
      generation,
      targets: [...targets],
      workspaces,
      busyTargets: [
        ...new Set([
          ...loading.keys(),
          ...inProgress.map(({target}) => target),
        ]),
      ],
      busyWorkspaces: [...new Set(inProgress.map(({workspace}) => workspace))],
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
