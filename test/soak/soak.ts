import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {startHostEngine, type HostEngine} from '../fleet/fixtures/host_engine';
import type {StoreSnapshot} from '../fleet/fixtures/host_store';
import {
  eventually,
  freeAddress,
  HOST,
  startHostSite,
} from '../fleet/fixtures/host_site';
import {sendAttempt} from './caller';
import {startEntryProcess, type EntryProcess} from './entry_process';
import {
  brokenPromises,
  type CallerRecord,
  type ColdSpan,
  type EvacuationSpan,
  type LimitSpan,
  type RouteSpan,
  type SoakRecords,
} from './oracles';
import {
  ENGINE_ZONES,
  planEvacuations,
  planPowerLosses,
  planRestores,
  planSilences,
  planStatements,
  planTroubles,
  type PlannedTrouble,
  type SoakSize,
  type Trouble,
} from './plan';

const CRASHING = 'ends its target';
const ENGINE_BACK = 1_200;
const LAPSE = 2_000;
const PAUSE_BETWEEN_REQUESTS = 30;
const CRASHING_EACH = 25;
const PROBE_EACH = 7;
const WRITTEN_AGAIN = 300;
const HEARTBEAT = 25;
const LAST_CALM = 6_000;
const RESTART_PAUSE = 300;

/** Period in which a cold engine says how long it stays so. */
const COLD_HEARTBEAT = 1_200;
const COLD_RATE = 2;

const EVACUATION_BOUND = 3_000;

/** Share of the grace period after which a stopping entry takes no more. */
const CLOSING_SHARE = 0.45;

/** A stopping entry is surely gone, and started again, after this. */
const STOPPED_AFTER = 3_500;

const BOUNDS = {
  configuration: 2_000,
  revocation: 5_000,
  draining: 2_000,
  version: 8_000,
  grace: 3_000,
  directoryAnswer: 5_000,
  repeats: {share: 0.2, slack: 104, window: 10_000},
};

/** Time from an engine's leaving to its end; what it runs ends meanwhile. */
const LEAVING_FOR = 1_000;

const COLD_START = {ColdStartS: 3, ColdPerS: COLD_RATE};

const COLD_SERVICES = [
  {Name: 'plain', ...COLD_START},
  {
    Name: 'engines',
    ...COLD_START,
    Engine: {
      Slots: 4,
      Models: [{Name: 'model', WarmS: 0.1}],
      step_ms: 1,
      layers: 2,
      Chunks: 6,
      ChunkBytes: 1,
    },
  },
];

/** Name of the route that comes and goes. */
const ADDED = 'added';

const CRASHING_PATH = '/safe/crashing';
const KINDS = ['safe', 'unsafe', 'stream'];

const ADDED_ROUTE = {
  Host: HOST,
  Name: ADDED,
  Prefix: `/${ADDED}/`,
  Kind: 'safe',
  Service: 'plain',
  TimeoutMs: 3_000,
  TargetLatencyMs: 400,
  MaxAttempts: 2,
};

/** A span in which an entry is stopped, killed or frozen. */
interface Disturbance {
  readonly entry: number;
  readonly from: number;
  readonly until: number;
}

/** How a soak ended. */
export interface SoakOutcome {
  readonly broken: readonly string[];
  /** Attempts by status, or by why there was none. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly troubles: number;
  readonly enginesEnded: number;
  /** Share of the requests answered whole once all troubles were over. */
  readonly servedAfterwards: number;
}

/** Which troubles a soak has. */
export type SoakTroubles =
  | 'basic'
  /** Also targets that leave, or ask to back off, by their own answers. */
  | 'statements'
  /** Also a store that comes back from copies, and configurations. */
  | 'restores'
  /** Also sound targets that fall silent and go on. */
  | 'silences'
  /** Also evacuated zones, and zones that return cold. */
  | 'evacuations'
  /** Losses of power in place of others, right after configurations. */
  | 'powerLosses';

function planOf(
  seed: number,
  size: SoakSize,
  troubles: SoakTroubles,
): readonly PlannedTrouble[] {
  const basic = planTroubles(seed, size);
  const planned = [...basic.filter(keeps), ...moreOf(seed, size, troubles)];
  return planned.sort((one, other) => one.at - other.at);

  /** Other faults of the store would leave few seconds to judge a restore by. */
  function keeps({trouble}: PlannedTrouble): boolean {
    if (troubles === 'powerLosses') return false;
    // Nothing can be written while the store is away, nor an evacuation.
    const hasOwnFaults = troubles === 'restores' || troubles === 'evacuations';
    return !hasOwnFaults || trouble.kind !== 'store';
  }
}

/** Whether the route that comes and goes is asked for. */
function hasProbes(troubles: SoakTroubles): boolean {
  return troubles === 'restores' || troubles === 'powerLosses';
}

function moreOf(
  seed: number,
  size: SoakSize,
  troubles: SoakTroubles,
): readonly PlannedTrouble[] {
  switch (troubles) {
    case 'basic':
      return [];
    case 'statements':
      return planStatements(seed, size);
    case 'restores':
      return planRestores(seed, size);
    case 'silences':
      return planSilences(seed, size);
    case 'evacuations':
      return planEvacuations(seed, size);
    case 'powerLosses':
      return planPowerLosses(seed, size);
  }
}

/** Plays the troubles of one seed against real entries. */
export async function playSoak(
  seed: number,
  size: SoakSize,
  troubles: SoakTroubles,
  folder: string,
): Promise<SoakOutcome> {
  const site = await startHostSite();
  const engines: HostEngine[] = [];
  const running: HostEngine[] = [];
  const callers: CallerRecord[] = [];
  const limits: LimitSpan[] = [];
  const openLimits = new Map<HostEngine, {rate: number; from: number}>();
  const disturbances: Disturbance[] = [];
  /** Spans in which an entry was killed or frozen, or gone for that. */
  const breaks: Disturbance[] = [];
  /** Spans in which an entry that is to stop answers "not run", or is gone. */
  const closings: Disturbance[] = [];
  const routes: RouteSpan[] = [];
  const evacuations: EvacuationSpan[] = [];
  const openEvacuations = new Map<string, number>();
  const coldSpans: ColdSpan[] = [];
  const zones = new Map<HostEngine, string>();
  /** When the store began or ended to misbehave. */
  const storeFaults: number[] = [];
  let copy: StoreSnapshot | undefined;
  let isRouteServed = false;
  let enginesEnded = 0;
  let isOver = false;

  async function startEngine(place: number, coldFor = 0): Promise<void> {
    if (isOver) return;
    const isModel = place % 2 === 1;
    const instance = `engine-${place}-${engines.length}`;
    const engine = await startHostEngine({
      instance,
      version: isModel ? 1 : undefined,
      onEnded: () => void replaceEngine(engine, place),
    });
    engine.setFault({kind: 'crashes', under: CRASHING});
    engines.push(engine);
    running[place] = engine;
    zones.set(engine, zoneAt(place));
    if (coldFor > 0) {
      const from = performance.now();
      coldSpans.push({engine, from, until: from + coldFor});
    }
    register(engine, place);
  }

  function register(engine: HostEngine, place: number): void {
    const models = {
      Service: 'engines',
      Models: [{Name: 'model', Version: 1, Adapters: []}],
    };
    const cold = coldSpans.find(span => span.engine === engine);
    site.register(engine, {
      ...(place % 2 === 1 && models),
      Zone: zoneAt(place),
      ColdRemainingMs: Math.max(0, (cold?.until ?? 0) - performance.now()),
    });
  }

  function zoneAt(place: number): string {
    const turn = Math.floor(place / 2) % ENGINE_ZONES.length;
    const zone = ENGINE_ZONES[turn] ?? 'north';
    return troubles === 'evacuations' ? zone : 'north';
  }

  /** Engines that were cold write their lines again with what is left of it. */
  function renewCold(): void {
    const cold = new Set(coldSpans.map(({engine}) => engine));
    for (const [place, engine] of running.entries()) {
      if (cold.has(engine)) register(engine, place);
    }
  }

  function evacuate(zone: string, isEvacuated: boolean): void {
    endEvacuation(zone);
    if (!isEvacuated) return site.store.remove('op', `evacuate/${zone}`);
    site.store.write('op', `evacuate/${zone}`, {});
    openEvacuations.set(zone, performance.now());
  }

  function endEvacuation(zone: string): void {
    const from = openEvacuations.get(zone);
    openEvacuations.delete(zone);
    if (from === undefined) return;
    evacuations.push({zone, from, until: performance.now()});
  }

  async function replaceEngine(ended: HostEngine, place: number) {
    enginesEnded += 1;
    setTimeout(() => site.store.remove('servers', ended.instance), LAPSE);
    endLimit(ended);
    await sleep(ENGINE_BACK);
    await startEngine(place);
  }

  function configure(): void {
    routes.push({at: performance.now(), isServed: isRouteServed});
    site.configure(
      troubles === 'evacuations' ? {Services: COLD_SERVICES} : {},
      isRouteServed ? [ADDED_ROUTE] : [],
    );
  }

  /** Writes what no entry reads, so that the store's versions grow. */
  function writeOthers(): void {
    site.store.write('others', 'row', performance.now());
  }

  /** What the operator and the engines wrote is written again a little later. */
  function restore(): void {
    if (copy === undefined) return;
    storeFaults.push(performance.now());
    site.store.restore(copy);
    setTimeout(() => {
      if (isOver) return;
      storeFaults.push(performance.now());
      for (const engine of engines) {
        if (!running.includes(engine)) {
          site.store.remove('servers', engine.instance);
        }
      }
      running.forEach((engine, place) => register(engine, place));
      configure();
    }, WRITTEN_AGAIN).unref();
  }

  async function endEngine(place: number, coldFor = 0): Promise<void> {
    const engine = running[place];
    if (engine === undefined) return;
    site.store.remove('servers', engine.instance);
    endLimit(engine);
    await startEngine(place, coldFor);
    await engine.close();
  }

  function endLimit(engine: HostEngine): void {
    const open = openLimits.get(engine);
    openLimits.delete(engine);
    if (open === undefined) return;
    limits.push({engine, ...open, until: performance.now()});
  }

  async function startEntry(index: number): Promise<EntryProcess> {
    const zone = index % 3 === 2 ? 'south' : 'north';
    return startEntryProcess({
      folder,
      pause: RESTART_PAUSE,
      settings: {
        role: 'entry',
        instance: `entry-${index}`,
        zone,
        region: zone,
        logLevel: 'info',
        peerAddress: await freeAddress(),
        callerAddress: await freeAddress(),
        readinessAddress: await freeAddress(),
        directoryAddress: await freeAddress(),
        placement: 'load',
        admission: 'none',
        store: {address: site.store.address, heartbeat: 1_200},
        bounds:
          troubles === 'evacuations'
            ? {...BOUNDS, evacuation: EVACUATION_BOUND}
            : BOUNDS,
      },
    });
  }

  function apply(trouble: Trouble, entries: readonly EntryProcess[]): void {
    switch (trouble.kind) {
      case 'signal':
        disturb(trouble.entry, trouble.signal);
        return entries[trouble.entry]?.signal(trouble.signal);
      case 'store':
        storeFaults.push(performance.now());
        return site.store.setFault(trouble.fault);
      case 'copy':
        copy = site.store.copy();
        return;
      case 'restore':
        return restore();
      case 'route':
        isRouteServed = trouble.isServed;
        return configure();
      case 'limit': {
        const engine = running[trouble.engine];
        if (engine === undefined) return;
        const {rate} = trouble;
        endLimit(engine);
        engine.setRateLimit(rate);
        if (rate === undefined) return;
        openLimits.set(engine, {rate, from: performance.now()});
        return;
      }
      case 'silence':
        return running[trouble.engine]?.fallSilent(trouble.duration);
      case 'evacuate':
        return evacuate(trouble.zone, trouble.isEvacuated);
      case 'coldReturn':
        for (const place of places) {
          if (zoneAt(place) !== trouble.zone) continue;
          running[place]?.setLeaving(true);
          setTimeout(
            () => void endEngine(place, trouble.duration),
            LEAVING_FOR,
          ).unref();
        }
        return;
      case 'leave':
        return running[trouble.engine]?.setLeaving(true);
      case 'end':
        return void endEngine(trouble.engine);
      case 'shed': {
        const {retryAfter} = trouble;
        running[trouble.engine]?.setFault(
          retryAfter === undefined
            ? {kind: 'crashes', under: CRASHING}
            : {kind: 'shedding', retryAfter},
        );
      }
    }
  }

  function disturb(entry: number, signal: NodeJS.Signals): void {
    const from = performance.now();
    if (signal === 'SIGTERM') {
      const closesAt = from + BOUNDS.grace * CLOSING_SHARE;
      closings.push({entry, from: closesAt, until: from + STOPPED_AFTER});
    } else {
      const gone = signal === 'SIGKILL' ? RESTART_PAUSE : 0;
      breaks.push({entry, from, until: from + gone});
    }
    const lasting = signal === 'SIGTERM' ? BOUNDS.grace : 0;
    disturbances.push({entry, from, until: from + lasting});
  }

  async function send(id: number, entry: number): Promise<void> {
    const address = entries[entry]!.callerAddress;
    const isCrashing = id % CRASHING_EACH === 0;
    const isProbe = hasProbes(troubles) && id % PROBE_EACH === 0;
    const usual = isProbe ? ADDED : KINDS[id % KINDS.length];
    const path = isCrashing ? CRASHING_PATH : `/${usual}/${id}`;
    const body = isCrashing ? CRASHING : `question ${id}`;
    callers.push(await sendAttempt({id, entry, address, path, body}));
  }

  const places = Array.from({length: size.engines}, (_, place) => place);
  await Promise.all(places.map(place => startEngine(place)));
  configure();
  const entries = await Promise.all(
    Array.from({length: size.entries}, (_, index) => startEntry(index)),
  );
  await eventually(async () => {
    const ready = await Promise.all(entries.map(isReady));
    return ready.every(isUp => isUp);
  });
  const heartbeats = setInterval(writeOthers, HEARTBEAT);
  const coldHeartbeats = setInterval(renewCold, COLD_HEARTBEAT);
  const startedAt = performance.now();
  const planned = planOf(seed, size, troubles);
  const end = startedAt + size.duration + LAST_CALM;
  const sending: Promise<void>[] = [];
  let next = 0;
  let id = 0;
  let idAfterwards = Infinity;
  while (performance.now() < end) {
    const elapsed = performance.now() - startedAt;
    while ((planned[next]?.at ?? Infinity) <= elapsed) {
      apply(planned[next]!.trouble, entries);
      next += 1;
    }
    id += 1;
    if (elapsed > size.duration + LAST_CALM / 2) {
      idAfterwards = Math.min(idAfterwards, id);
    }
    const entry = id % entries.length;
    sending.push(send(id, entry));
    await sleep(PAUSE_BETWEEN_REQUESTS);
  }
  await Promise.all(sending);
  isOver = true;
  clearInterval(heartbeats);
  clearInterval(coldHeartbeats);
  for (const zone of [...openEvacuations.keys()]) endEvacuation(zone);
  for (const engine of [...openLimits.keys()]) endLimit(engine);
  const records: SoakRecords = {
    callers,
    engines,
    limits,
    routes,
    evacuations,
    evacuationBound: EVACUATION_BOUND,
    zoneOf: engine => zones.get(engine),
    coldSpans,
    coldRate: COLD_RATE,
    isStoreStable: (from, until) =>
      storeFaults.every(at => at < from || at > until),
    crashing: CRASHING,
    isCalm: (entry, from, until) => !isWithin(disturbances, entry, from, until),
    isRunning: (entry, from, until) => !isWithin(breaks, entry, from, until),
    isClosing: (entry, at) => isWithin(closings, entry, at, at),
  };
  const broken = brokenPromises(records);
  await Promise.all(entries.map(entry => entry.close()));
  await site.close();
  await Promise.all(engines.map(engine => engine.close()));
  const afterwards = callers.filter(
    ({requestId, path}) =>
      Number(requestId.split('-')[1]) >= idAfterwards &&
      path !== CRASHING_PATH &&
      !path.startsWith(`/${ADDED}/`),
  );
  const served = afterwards.filter(({status}) => status === 200).length;
  return {
    broken,
    statuses: countStatuses(callers),
    troubles: next,
    enginesEnded,
    servedAfterwards: served / Math.max(1, afterwards.length),
  };
}

/** Whether one of the spans of an entry touches a span of time. */
function isWithin(
  spans: readonly Disturbance[],
  entry: number,
  from: number,
  until: number,
): boolean {
  return spans.some(
    span => span.entry === entry && span.until >= from && span.from <= until,
  );
}

async function isReady({readinessAddress}: EntryProcess): Promise<boolean> {
  try {
    const reply = await request(`http://${readinessAddress}/ready`);
    await reply.body.dump();
    return reply.statusCode === 200;
  } catch {
    return false;
  }
}

function countStatuses(callers: readonly CallerRecord[]) {
  const counts: Record<string, number> = {};
  for (const {status, failure} of callers) {
    const name = String(status ?? failure);
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
