import {
  startHostStore,
  type HostStore,
} from '../../test/fleet/fixtures/host_store';
import {startEngine, type Engine, type EngineOptions} from './engine';
import {
  startEntry,
  temporaryFolder,
  untilReady,
  type EntryProcess,
} from './processes';

/** Host of the routes. */
export const HOST = 'site.example';

const KEY = 'key-of-shop';
const HEARTBEAT_MS = 1_200;
const SLOTS = 16;

/** A store, engines and entries on loopback. */
export interface Site {
  readonly store: HostStore;
  readonly engines: readonly Engine[];
  readonly entries: readonly EntryProcess[];
  /** Ends everything that was started. */
  readonly close: () => Promise<void>;
}

/** Options of a site. */
export interface SiteOptions {
  readonly entries: number;
  readonly engines: number;
  /** Fields of the only route that differ from those of the small sites. */
  readonly route: object;
  readonly engine: Omit<EngineOptions, 'instance'>;
}

/** Starts a site; undefined if its entries don't become ready. */
export async function startSite(
  options: SiteOptions,
): Promise<Site | undefined> {
  const folder = temporaryFolder();
  const store = await startHostStore();
  const engines = await Promise.all(
    Array.from({length: options.engines}, (_, at) =>
      startEngine({...options.engine, instance: `engine-${at + 1}`}),
    ),
  );
  store.write('op', 'config', configurationOf(options.route));
  const register = (): void => {
    for (const engine of engines) {
      store.write('servers', engine.instance, registrationOf(engine, 1));
    }
  };
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);
  const entries = await Promise.all(
    Array.from({length: options.entries}, (_, at) =>
      startEntry(`entry-${at + 1}`, store.address, folder),
    ),
  );
  const close = async (): Promise<void> => {
    clearInterval(heartbeat);
    for (const entry of entries) entry.close();
    for (const engine of engines) engine.close();
    await store.close();
  };
  if (await untilReady(entries)) return {store, engines, entries, close};
  await close();
  return undefined;
}

let heartbeats = 0;

/** The row that an engine writes with each heartbeat. */
export function registrationOf({address}: Engine, version: number): object {
  heartbeats += 1;
  return {
    Service: 'engines',
    Address: address,
    Zone: 'north',
    Version: '1.0',
    Slots: SLOTS,
    State: 'ready',
    ColdRemainingMs: 0,
    Sequence: heartbeats,
    Models: [{Name: 'model', Version: version, Adapters: []}],
  };
}

/** The first configuration; `services` are further ones. */
export function configurationOf(
  route: object,
  services: readonly object[] = [],
): object {
  return {
    Version: 1,
    Routes: [
      {
        Name: 'stream',
        Host: HOST,
        Prefix: '/stream/',
        Kind: 'stream',
        Service: 'engines',
        TimeoutMs: 6_000,
        TargetLatencyMs: 400,
        GapTargetMs: 300,
        MaxAttempts: 2,
        Priority: 1,
        Sticky: true,
        ...route,
      },
    ],
    Services: [
      {
        Name: 'engines',
        HealthPath: '/health',
        Engine: {
          Slots: SLOTS,
          Models: [{Name: 'model', WarmS: 0.3}],
          step_ms: 6.73,
          per_seq_ms: 0.0219,
          read_per_s: 30_600,
          pairs_per_m: 0.647,
          chunk: 2_048,
          context_per_k: 0.0068,
          layers: 16,
          Chunks: 48,
          ChunkBytes: 49_152,
          Stride: 6,
          KvTokens: 1_640_000,
        },
      },
      ...services,
    ],
    Limits: {
      HeaderBytes: 16_384,
      BodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{Name: 'shop', ApiKeys: [KEY], Priority: 1}],
  };
}

/** The text of a request for a stream, with a body of some bytes. */
export function streamRequest(requestId: string, deadline: number): string {
  const body = `question ${requestId}`;
  return [
    `POST /stream/${requestId} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Hibiscusbeam-Request-Id: ${requestId}`,
    `X-Hibiscusbeam-Deadline-Ms: ${deadline}`,
    'X-Hibiscusbeam-Model: model',
    'X-Hibiscusbeam-Token-Count: 1290,144',
    `X-Hibiscusbeam-Prompt-Prefix: 5c1e07a2:40,${requestId}:1250`,
    `Authorization: Token ${KEY}`,
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}
