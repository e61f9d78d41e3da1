import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {
  startHostEngine,
  type EngineFault,
  type HostEngine,
} from '../fleet/fixtures/host_engine';
import type {StoreSnapshot} from '../fleet/fixtures/host_store';
import {
  eventually,
  freeAddress,
  HOST,
  startHostSite,
} from '../fleet/fixtures/host_site';
import {sendAttempt} from './caller';
import {startEntryProcess, type EntryProcess} from './fleet_process';
import {
  findViolations,
  type CallerRecord,
  type ColdSpan,
  type EvacuationSpan,
  type LimitSpan,
  type RouteSpan,
  type SoakRecords,
} from './invariants';
import {hasProbes, planFaults, type FaultSet} from './fault_sets';
import {ENGINE_ZONES, type SoakFault, type SoakSize} from './plan';
import {
  CRASHING_PART_INTERVAL,
  CRASHING_PART_PATH,
  partFault,
} from './prompt_parts';

const CRASHING_BODY = 'ends its target';
const ENGINE_RESTART_MS = 1_200;
const LISTING_EXPIRY_MS = 2_000;
const REQUEST_INTERVAL_MS = 30;
const CRASHING_INTERVAL = 25;
const PROBE_INTERVAL = 7;
const REWRITE_DELAY_MS = 300;
const STORE_WRITE_INTERVAL_MS = 25;
const FINAL_CALM_MS = 6_000;
const RESTART_PAUSE_MS = 300;

/** Interval at which a cold engine reports its remaining cold time. */
const COLD_REPORT_INTERVAL_MS = 1_200;
const COLD_RATE = 2;

const EVACUATION_BOUND_MS = 3_000;

/** Share of the grace period after which a stopping entry refuses requests. */
const CLOSING_SHARE = 0.45;

/** Time within which a stopping entry has exited and was restarted. */
const MAX_STOP_MS = 3_500;

const BOUNDS = {
  configuration: 2_000,
  revocation: 5_000,
  draining: 2_000,
  version: 8_000,
  grace: 3_000,
  directoryAnswer: 5_000,
  repeats: {share: 0.2, slack: 104, window: 10_000},
};

/** Time from an engine's announcement to its end, enough to finish requests. */
const LEAVING_DURATION_MS = 1_000;

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

/** Name of the route that is added and removed. */
const ADDED_ROUTE_NAME = 'added';

const CRASHING_PATH = '/safe/crashing';
const REQUEST_KINDS = ['safe', 'unsafe', 'stream'];

const ADDED_ROUTE = {
  Host: HOST,
  Name: ADDED_ROUTE_NAME,
  Prefix: `/${ADDED_ROUTE_NAME}/`,
  Kind: 'safe',
  Service: 'plain',
  TimeoutMs: 3_000,
  TargetLatencyMs: 400,
  MaxAttempts: 2,
};

/** A time span in which an entry is stopped, killed or frozen. */
interface Disturbance {
  readonly entry: number;
  readonly from: number;
  readonly until: number;
}

/** The outcome of a soak run. */
export interface SoakOutcome {
  readonly violations: readonly string[];
  /** Number of attempts by status, or by failure if there is no status. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly faults: number;
  readonly enginesEnded: number;
  /** Share of the requests answered after all faults were over. */
  readonly servedAfterwards: number;
}

/** Runs the faults of one seed against real entry processes. */
export async function runSoak(
  seed: number,
  size: SoakSize,
  faultSet: FaultSet,
  folder: string,
): Promise<SoakOutcome> {
  const site = await startHostSite();
  const engines: HostEngine[] = [];
  const running: HostEngine[] = [];
  const callers: CallerRecord[] = [];
  const limits: LimitSpan[] = [];
  const openLimits = new Map<HostEngine, {rate: number; from: number}>();
  const disturbedSpans: Disturbance[] = [];
  /** Time spans in which an entry was killed, frozen or not yet restarted. */
  const unavailableSpans: Disturbance[] = [];
  /** Time spans in which a stopping entry refuses requests or has exited. */
  const closingSpans: Disturbance[] = [];
  const routes: RouteSpan[] = [];
  const evacuations: EvacuationSpan[] = [];
  const openEvacuations = new Map<string, number>();
  const coldSpans: ColdSpan[] = [];
  const zones = new Map<HostEngine, string>();
  /** Times at which a fault of the store started or ended. */
  const storeFaults: number[] = [];
  let copy: StoreSnapshot | undefined;
  let isRouteServed = false;
  let enginesEnded = 0;
  let hasEnded = false;

  async function startEngine(position: number, coldFor = 0): Promise<void> {
    if (hasEnded) return;
    const isModel = position % 2 === 1;
    const instance = `engine-${position}-${engines.length}`;
    const engine = await startHostEngine({
      instance,
      version: isModel ? 1 : undefined,
      onEnded: () => void replaceEngine(engine, position),
    });
    engine.setFault(usualFault(position));
    engines.push(engine);
    running[position] = engine;
    zones.set(engine, zoneAt(position));
    if (coldFor > 0) {
      const from = performance.now();
      coldSpans.push({engine, from, until: from + coldFor});
    }
    register(engine, position);
  }

  /** What an engine ends under if nothing else is wrong with it. */
  function usualFault(position: number): EngineFault {
    const hasModel = position % 2 === 1;
    return hasModel && faultSet === 'promptParts'
      ? partFault(seed)
      : {kind: 'crashes', under: CRASHING_BODY};
  }

  function register(engine: HostEngine, position: number): void {
    const models = {
      Service: 'engines',
      Models: [{Name: 'model', Version: 1, Adapters: []}],
    };
    const cold = coldSpans.find(span => span.engine === engine);
    site.register(engine, {
      ...(position % 2 === 1 && models),
      Zone: zoneAt(position),
      ColdRemainingMs: Math.max(0, (cold?.until ?? 0) - performance.now()),
    });
  }

  function zoneAt(position: number): string {
    const turn = Math.floor(position / 2) % ENGINE_ZONES.length;
    const zone = ENGINE_ZONES[turn] ?? 'north';
    return faultSet === 'evacuations' ? zone : 'north';
  }

  /** Registers cold engines again with their remaining cold time. */
  function reportColdEngines(): void {
    const cold = new Set(coldSpans.map(({engine}) => engine));
    for (const [position, engine] of running.entries()) {
      if (cold.has(engine)) register(engine, position);
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

  async function replaceEngine(ended: HostEngine, position: number) {
    enginesEnded += 1;
    setTimeout(
      () => site.store.remove('servers', ended.instance),
      LISTING_EXPIRY_MS,
    );
    endLimit(ended);
    await sleep(ENGINE_RESTART_MS);
    await startEngine(position);
  }

  function configure(): void {
    routes.push({at: performance.now(), isServed: isRouteServed});
    site.configure(
      faultSet === 'evacuations' ? {Services: COLD_SERVICES} : {},
      isRouteServed ? [ADDED_ROUTE] : [],
    );
  }

  /** Writes rows that no entry reads, to increase the store's versions. */
  function writeUnrelatedRows(): void {
    site.store.write('others', 'row', performance.now());
  }

  /** Restores the copy; operator and engines write their rows again later. */
  function restore(): void {
    if (copy === undefined) return;
    storeFaults.push(performance.now());
    site.store.restore(copy);
    setTimeout(() => {
      if (hasEnded) return;
      storeFaults.push(performance.now());
      for (const engine of engines) {
        if (!running.includes(engine)) {
          site.store.remove('servers', engine.instance);
        }
      }
      running.forEach((engine, position) => register(engine, position));
      configure();
    }, REWRITE_DELAY_MS).unref();
  }

  async function endEngine(position: number, coldFor = 0): Promise<void> {
    const engine = running[position];
    if (engine === undefined) return;
    site.store.remove('servers', engine.instance);
    endLimit(engine);
    await startEngine(position, coldFor);
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
      pause: RESTART_PAUSE_MS,
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
          faultSet === 'evacuations'
            ? {...BOUNDS, evacuation: EVACUATION_BOUND_MS}
            : BOUNDS,
      },
    });
  }

  function apply(fault: SoakFault, entries: readonly EntryProcess[]): void {
    switch (fault.kind) {
      case 'signal':
        disturb(fault.entry, fault.signal);
        return entries[fault.entry]?.signal(fault.signal);
      case 'store':
        storeFaults.push(performance.now());
        return site.store.setFault(fault.fault);
      case 'copy':
        copy = site.store.copy();
        return;
      case 'restore':
        return restore();
      case 'route':
        isRouteServed = fault.isServed;
        return configure();
      case 'limit': {
        const engine = running[fault.engine];
        if (engine === undefined) return;
        const {rate} = fault;
        endLimit(engine);
        engine.setRateLimit(rate);
        if (rate === undefined) return;
        openLimits.set(engine, {rate, from: performance.now()});
        return;
      }
      case 'silence':
        return running[fault.engine]?.fallSilent(fault.duration);
      case 'evacuate':
        return evacuate(fault.zone, fault.isEvacuated);
      case 'coldReturn':
        for (const position of positions) {
          if (zoneAt(position) !== fault.zone) continue;
          running[position]?.setLeaving(true);
          setTimeout(
            () => void endEngine(position, fault.duration),
            LEAVING_DURATION_MS,
          ).unref();
        }
        return;
      case 'leave':
        return running[fault.engine]?.setLeaving(true);
      case 'end':
        return void endEngine(fault.engine);
      case 'shed': {
        const {retryAfter} = fault;
        running[fault.engine]?.setFault(
          retryAfter === undefined
            ? usualFault(fault.engine)
            : {kind: 'shedding', retryAfter},
        );
      }
    }
  }

  function disturb(entry: number, signal: NodeJS.Signals): void {
    const from = performance.now();
    if (signal === 'SIGTERM') {
      const closesAt = from + BOUNDS.grace * CLOSING_SHARE;
      closingSpans.push({entry, from: closesAt, until: from + MAX_STOP_MS});
    } else {
      const restartDelay = signal === 'SIGKILL' ? RESTART_PAUSE_MS : 0;
      unavailableSpans.push({entry, from, until: from + restartDelay});
    }
    const duration = signal === 'SIGTERM' ? BOUNDS.grace : 0;
    disturbedSpans.push({entry, from, until: from + duration});
  }

  function pathOf(id: number, usual: string | undefined): string {
    const hasPart =
      faultSet === 'promptParts' && id % CRASHING_PART_INTERVAL === 0;
    return hasPart ? `${CRASHING_PART_PATH}${id}` : `/${usual}/${id}`;
  }

  async function send(id: number, entry: number): Promise<void> {
    const address = entries[entry]!.callerAddress;
    const isCrashing = id % CRASHING_INTERVAL === 0;
    const isProbe = hasProbes(faultSet) && id % PROBE_INTERVAL === 0;
    const usual = isProbe
      ? ADDED_ROUTE_NAME
      : REQUEST_KINDS[id % REQUEST_KINDS.length];
    const path = isCrashing ? CRASHING_PATH : pathOf(id, usual);
    const body = isCrashing ? CRASHING_BODY : `question ${id}`;
    callers.push(await sendAttempt({id, entry, address, path, body}));
  }

  const positions = Array.from(
    {length: size.engines},
    (_, position) => position,
  );
  await Promise.all(positions.map(position => startEngine(position)));
  configure();
  const entries = await Promise.all(
    Array.from({length: size.entries}, (_, index) => startEntry(index)),
  );
  await eventually(async () => {
    const ready = await Promise.all(entries.map(isReady));
    return ready.every(isUp => isUp);
  });
  const heartbeats = setInterval(writeUnrelatedRows, STORE_WRITE_INTERVAL_MS);
  const coldHeartbeats = setInterval(
    reportColdEngines,
    COLD_REPORT_INTERVAL_MS,
  );
  const startedAt = performance.now();
  const planned = planFaults(seed, size, faultSet);
  const end = startedAt + size.duration + FINAL_CALM_MS;
  const sending: Promise<void>[] = [];
  let next = 0;
  let id = 0;
  let firstIdAfterFaults = Infinity;
  while (performance.now() < end) {
    const elapsed = performance.now() - startedAt;
    while ((planned[next]?.at ?? Infinity) <= elapsed) {
      apply(planned[next]!.fault, entries);
      next += 1;
    }
    id += 1;
    if (elapsed > size.duration + FINAL_CALM_MS / 2) {
      firstIdAfterFaults = Math.min(firstIdAfterFaults, id);
    }
    const entry = id % entries.length;
    sending.push(send(id, entry));
    await sleep(REQUEST_INTERVAL_MS);
  }
  await Promise.all(sending);
  hasEnded = true;
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
    evacuationBound: EVACUATION_BOUND_MS,
    zoneOf: engine => zones.get(engine),
    coldSpans,
    coldRate: COLD_RATE,
    isStoreStable: (from, until) =>
      storeFaults.every(at => at < from || at > until),
    crashing: CRASHING_BODY,
    isCalm: (entry, from, until) =>
      !isWithin(disturbedSpans, entry, from, until),
    isRunning: (entry, from, until) =>
      !isWithin(unavailableSpans, entry, from, until),
    isClosing: (entry, at) => isWithin(closingSpans, entry, at, at),
  };
  const violations = findViolations(records);
  await Promise.all(entries.map(entry => entry.close()));
  await site.close();
  await Promise.all(engines.map(engine => engine.close()));
  const afterwards = callers.filter(
    ({requestId, path}) =>
      Number(requestId.split('-')[1]) >= firstIdAfterFaults &&
      path !== CRASHING_PATH &&
      !path.startsWith(CRASHING_PART_PATH) &&
      !path.startsWith(`/${ADDED_ROUTE_NAME}/`),
  );
  const served = afterwards.filter(({status}) => status === 200).length;
  return {
    violations,
    statuses: countStatuses(callers),
    faults: next,
    enginesEnded,
    servedAfterwards: served / Math.max(1, afterwards.length),
  };
}

/** Whether a span of the entry overlaps the time from `from` to `until`. */
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
