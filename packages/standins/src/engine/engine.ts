import {randomUUID} from 'node:crypto';
import type {FencingSupport, Milliseconds} from '@hibiscusbeam/core';
import {createAnswerFaults} from '../shared/answer_faults';
import {createSystemClock} from '../shared/clock';
import {createFreezer} from '../shared/freezer';
import {createLaggedView} from '../shared/lagged_view';
import {createServer, listenOn, parseBody} from '../shared/server';
import type {StandIn, StandInOptions} from '../shared/server';
import {createBatch} from './batch';
import {createChunkStore} from './chunk_store';
import {addGenerateRoutes} from './generate_routes';
import {createPrefixCache} from './prefix_cache';
import {createRuns} from './runs';
import {engineFaultsSchema} from './schemas';
import {addVersionRoutes} from './version_routes';
import {createEngineVersions} from './versions';

/** Default options of an engine that is small enough for one test machine. */
const DEFAULT_OPTIONS = {
  slots: 8,
  queueLimit: 64,
  cacheCapacity: 64,
  loadTime: 100,
  tokenTime: 2,
  firstTokenTime: 10,
} as const;

/** Routes for tests, which answer while the engine is frozen. */
const CONTROL_ROUTES: ReadonlySet<string> = new Set([
  'POST /faults',
  'GET /runs',
  'GET /orders',
]);

/** Options of a model engine; times in milliseconds. */
export interface EngineOptions extends StandInOptions {
  /** Max. number of concurrent runs. */
  readonly slots?: number;
  /** Max. number of requests that wait for a slot. */
  readonly queueLimit?: number;
  /** Max. number of cached prefixes. */
  readonly cacheCapacity?: number;
  readonly loadTime?: Milliseconds;
  readonly tokenTime?: Milliseconds;
  readonly firstTokenTime?: Milliseconds;
  readonly fencing?: FencingSupport;
  /** Loads without checking the chunks' content. */
  readonly trustChunks?: boolean;
}

function applyIfDefined<Value>(
  value: Value | undefined,
  apply: (value: Value) => void,
): void {
  if (value !== undefined) apply(value);
}

/** Starts a model engine. */
export async function startEngine(options: EngineOptions): Promise<StandIn> {
  const settings = {...DEFAULT_OPTIONS, ...options};
  const clock = options.clock ?? createSystemClock();
  const life = randomUUID();
  const freezer = createFreezer();
  const answerFaults = createAnswerFaults(clock);
  const runs = createRuns();
  const chunks = createChunkStore(options.trustChunks ?? false);
  const cache = createPrefixCache(clock, settings.cacheCapacity);

  const versions = createEngineVersions({
    clock,
    freezer,
    chunks,
    loadTime: settings.loadTime,
    fencing: options.fencing ?? 'checked',
    onChange: () => reports.record(currentReport()),
    onUnload: cache.evictVersion,
  });
  const batch = createBatch({
    clock,
    freezer,
    cache,
    slots: settings.slots,
    queueLimit: settings.queueLimit,
    times: settings,
    onChange: () => reports.record(currentReport()),
    onStart: runs.countStart,
  });
  const reports = createLaggedView(clock, currentReport());

  function currentReport() {
    return {
      life,
      loaded: versions.loaded(),
      loading: versions.loading(),
      ...batch.load(),
      slots: settings.slots,
    };
  }

  const server = createServer();
  server.addHook('onRequest', async request => {
    const route = `${request.method} ${request.routeOptions.url ?? ''}`;
    if (!CONTROL_ROUTES.has(route)) await freezer.whenUnfrozen();
  });
  addVersionRoutes(server, chunks, versions);
  addGenerateRoutes(server, {versions, batch, runs, answerFaults});

  server.get('/report', (_request, reply) => {
    const {value, age} = reports.read();
    return reply.send({...value, ageMilliseconds: age});
  });

  server.get<{Querystring: {after?: string}}>(
    '/cache-events',
    ({query}, reply) => reply.send(cache.eventsAfter(Number(query.after ?? 0))),
  );

  server.post('/faults', (request, reply) => {
    const faults = parseBody(engineFaultsSchema, request);
    answerFaults.set(faults);
    batch.setTimes(faults);
    applyIfDefined(faults.reportLag, reports.setLag);
    applyIfDefined(faults.cacheEventLag, cache.setLag);
    applyIfDefined(faults.cacheEventGapEvery, cache.setGapEvery);
    applyIfDefined(faults.loadTime, versions.setLoadTime);
    applyIfDefined(faults.fencing, versions.setFencing);
    applyIfDefined(faults.frozen, freezer.set);
    return reply.send({});
  });

  return listenOn(server, options.listen);
}
