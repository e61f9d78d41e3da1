import {
  checkManifest,
  createVersionPlan,
  loadOffset,
  unreachable,
  type Digest,
  type Milliseconds,
  type MonotonicInstant,
  type NamedVersions,
  type IncarnationStamp,
  type PlanStep,
  type SwarmMember,
} from '@hibiscusbeam/core';
import {
  digestText,
  type Clock,
  type Log,
  type SwarmDriver,
} from '@hibiscusbeam/daemon';
import type {
  EngineControl,
  EngineStatus,
  VersionContent,
  VersionOrigin,
} from '../ports';
import {createWakeablePause} from '../link/wakeable_pause';
import {createContentReader} from './content_reader';
import {createEngineOrders} from './engine_orders';
import type {OperatorMonitor} from './operator_monitor';
import {
  findWantedModel,
  identifyVersion,
  type FetchedVersion,
  type WantedModel,
} from './wanted_version';
import {fitsInMemory, type StagedChunks} from './staged_chunks';

/** Poll period of the own engine while it runs something or a load is due. */
const POLL_PERIOD: Milliseconds = 100;

/**
 * The same while nothing runs and nothing is due. Polling is most of what an
 * idle agent does, and entries that send requests know of those without a
 * report.
 */
const IDLE_POLL_PERIOD: Milliseconds = 250;

/** Timeout of a status request to the engine. */
const STATUS_TIMEOUT: Milliseconds = 500;

/**
 * Minimum time between the report to the entries that an engine accepts nothing
 * more and the order to load. Requests already sent arrive meanwhile: transit
 * takes a few milliseconds, and an entry under load adds about ten.
 */
const DRAIN_BEFORE_LOAD: Milliseconds = 80;

/**
 * Age of the last report from which entries may take the engine for open again.
 */
const MAX_REPORT_AGE: Milliseconds = 1_000;

/** Options of {@link createEngineManager}. */
export interface EngineManagerOptions {
  readonly service: string;
  readonly engine: EngineControl;
  readonly origin: VersionOrigin;
  readonly operator: OperatorMonitor;
  readonly versions: NamedVersions;
  readonly staged: StagedChunks;
  readonly swarm: SwarmDriver;
  /** This agent as a member of the swarm. `members` includes it. */
  readonly self: SwarmMember;
  readonly members: () => readonly SwarmMember[];
  readonly areMembersKnown: () => boolean;
  /** Time after a version's naming within which all engines must have it. */
  readonly versionBound: Milliseconds;
  readonly clock: Clock;
  /** Clock that also counts while the machine is suspended. */
  readonly machineClock: Clock;
  readonly log: Log;
  /** Called with each status, and with the time until a load if one is near. */
  readonly onStatus: (
    status: EngineStatus,
    loadsIn: Milliseconds | undefined,
  ) => void;
}

/** Keeps an engine at the newest version. */
export interface EngineManager {
  readonly start: (signal: AbortSignal) => void;
  /** Polls the engine at once, after a version was named. */
  readonly checkNow: () => void;
  /** Versions that are being fetched or have been fetched. */
  readonly fetching: () => readonly FetchedVersion[];
  /** Whether transfers may use the whole link of the machine. */
  readonly needsWholeLink: () => boolean;
}

/** Creates the manager of the engine on this agent's machine. */
export function createEngineManager(
  options: EngineManagerOptions,
): EngineManager {
  const {engine, operator, staged, swarm, clock, log} = options;
  const contents = createContentReader(options);
  const orders = createEngineOrders(options);
  const plan = createVersionPlan<FetchedVersion>({
    bound: options.versionBound,
    place: () => loadOffset(options.self, options.members()),
    isIndependentOfOrigin: ({identified}) =>
      swarm.isFullyReachable(identified.versionDigest),
    fitsOutsideStaging: ({identified: {manifest}}) =>
      fitsInMemory(manifest.chunks.length, manifest.chunks[0]?.size ?? 0),
  });
  let life: IncarnationStamp = {born: undefined};
  let lastState = '';
  let isServing = false;
  let isReachable = true;
  /** When the entries were informed of a due load; undefined if none is due. */
  let closedAt: MonotonicInstant | undefined;
  /** When the entries were last informed, by the machine's clock. */
  let reportedAt: MonotonicInstant = -Infinity;
  const pause = createWakeablePause();

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const requestedAt = clock();
      const status = await engine.standing(STATUS_TIMEOUT);
      updateReachable(status.ok);
      if (status.ok) orders.recordAnswer(requestedAt);
      if (status.ok) applyStatus(status.val);
      else logUnreachable(status.val);
      fetchNewest();
      if (status.ok) loadIfDue(status.val);
      const isSettled = status.ok && isIdle(status.val) && isNothingDue();
      await pause.sleep(isSettled ? IDLE_POLL_PERIOD : POLL_PERIOD, signal);
    }
  }

  /** Whether the engine serves the newest known version. */
  function isNothingDue(): boolean {
    const model = findWantedModel(operator.services(), options.service);
    if (model === undefined || plan.current() === undefined) return false;
    const wanted = options.versions.newest(model.name) ?? 0;
    return plan.isServed() && plan.newest() >= wanted && closedAt === undefined;
  }

  function applyStatus(status: EngineStatus): void {
    updateIncarnation(status);
    isServing = status.held.length > 0;
    const {ordering: isLoading} = status;
    const served = servedVersion(status);
    applyStep(plan.observe({served, isLoading}, clock()));
    report(status);
    logState(status);
  }

  function report(status: EngineStatus): void {
    // After a silence the entries are informed anew of a due load.
    if (!isReportCurrent()) closedAt = undefined;
    reportedAt = options.machineClock();
    const ordering =
      status.ordering || closedAt !== undefined || !orders.isLoadTrusted();
    options.onStatus({...status, ordering}, plan.loadsIn(clock()));
  }

  function isReportCurrent(): boolean {
    return options.machineClock() - reportedAt <= MAX_REPORT_AGE;
  }

  /** Reads the staged chunks again once the engine answers. */
  function updateReachable(isReachableNow: boolean): void {
    if (isReachable === isReachableNow) return;
    isReachable = isReachableNow;
    staged.setReachable(isReachable);
    if (isReachable) void swarm.refreshHeld();
  }

  /**
   * Resets the orders when the engine has restarted. If it restarts under its
   * id right after an order, its load would otherwise wait for a pause that
   * belongs to the previous incarnation. Staged chunks are read again before
   * the order in any case.
   */
  function updateIncarnation(status: EngineStatus): void {
    if (status.born === undefined || life.born === status.born) return;
    const isFirst = life.born === undefined;
    life = {born: status.born};
    if (isFirst) return;
    log.info('engine has started anew', {born: status.born});
    orders.reset();
  }

  function servedVersion({held}: EngineStatus): number | undefined {
    const model = plan.current()?.content.model;
    return held.find(entry => model === undefined || entry.model === model)
      ?.version;
  }

  function fetchNewest(): void {
    const services = operator.services();
    const model = findWantedModel(services, options.service);
    // Without the members, a joining agent would request chunks from the origin
    // that its neighbours hold.
    if (model === undefined || !options.areMembersKnown()) return;
    const wanted = options.versions.newest(model.name);
    const newest = plan.newest();
    const isNewest = newest > 0 && newest >= (wanted ?? 0);
    if (!isNewest && mayFetch(model)) void fetchContent(model, wanted);
  }

  function loadIfDue(status: EngineStatus): void {
    const due = findDueLoad();
    if (due === undefined) {
      closedAt = undefined;
      return;
    }
    if (!mayOrder(status)) return;
    void orders.orderLoad(due, () => isStillDue(due));
  }

  function findDueLoad(): FetchedVersion | undefined {
    const current = plan.current();
    if (current === undefined || plan.isServed()) return undefined;
    if (!isReady(current.identified.versionDigest)) return undefined;
    plan.recordTransferred(clock());
    return plan.mayLoad(clock()) ? current : undefined;
  }

  /** Whether a load is still due after its chunks have been verified. */
  function isStillDue(version: FetchedVersion): boolean {
    if (isServing && !(isDrained() && isReportCurrent())) return false;
    return plan.current() === version && plan.mayLoad(clock());
  }

  /**
   * Reports to the entries that the engine accepts nothing more, and allows the
   * order only some time after that. A request that reaches an engine right
   * after the order would wait for all that runs and for the load, 1.6 s, and
   * could begin on the version just loaded after the bound of the next one.
   */
  function mayOrder(status: EngineStatus): boolean {
    if (!isServing) return true;
    if (closedAt === undefined) {
      closedAt = clock();
      report(status);
    }
    return isDrained();
  }

  function isDrained(): boolean {
    const since = closedAt ?? Infinity;
    return clock() - since >= DRAIN_BEFORE_LOAD;
  }

  /**
   * A version that does not fit in memory is fetched only once it can be staged
   * directly.
   */
  function mayFetch({chunkSize, chunks}: WantedModel): boolean {
    if (fitsInMemory(chunks, chunkSize)) return true;
    return isReachable && !plan.occupiesStaging(clock());
  }

  function isReady(versionDigest: Digest): boolean {
    return swarm
      .progress()
      .some(entry => entry.versionDigest === versionDigest && entry.ready);
  }

  async function fetchContent(
    model: WantedModel,
    version: number | undefined,
  ): Promise<void> {
    const content = await contents.read(model, version);
    if (content !== undefined) startVersion(content, model);
  }

  /**
   * Returns when the version was named. If the origin is unavailable at that
   * time, the content may be read six seconds later; with the bound counted
   * from then, chunks would get 0.7 of the link and loads would wait for their
   * offsets, while no request may begin anywhere.
   */
  function namedSince({
    model,
    version,
  }: VersionContent): MonotonicInstant | undefined {
    return options.versions
      .recent()
      .find(naming => naming.model === model && naming.version === version)
      ?.knownSince;
  }

  function startVersion(content: VersionContent, model: WantedModel): void {
    if (content.version <= plan.newest()) return;
    const identified = identifyVersion(content, model.chunkSize);
    const checked = checkManifest(
      identified.versionDigest,
      identified.manifest,
      digestText,
    );
    if (checked.err) {
      log.warn('content of a version is malformed', {faults: checked.val});
      return;
    }
    const {version} = content;
    const knownSince = namedSince(content) ?? clock();
    const next = {version, content, identified, knownSince};
    const before = plan.current()?.version;
    const step = plan.addVersion(next, clock());
    log.info('fetches a version', {
      model: content.model,
      version,
      after: step?.kind === 'prepare' ? before : undefined,
    });
    applyStep(step);
    fetch(next, model);
  }

  /**
   * Carries out a step of the plan. If a version is named four seconds after
   * another, its chunks are moved at once and wait in memory. If they were
   * staged only after the load of the other, the version would come after its
   * bound, and until then no engine could begin anything, so that callers are
   * refused for seconds.
   */
  function applyStep(step: PlanStep<FetchedVersion> | undefined): void {
    if (step === undefined) return;
    for (const {identified} of step.replacedVersions) {
      swarm.abandon(identified.versionDigest);
    }
    switch (step.kind) {
      case 'stage':
        staged.setStagedVersion(step.version.content);
        return;
      case 'prepare':
        staged.prepare(step.version.content);
        return;
      default:
        unreachable(step);
    }
  }

  function fetch({identified}: FetchedVersion, model: WantedModel): void {
    const {versionDigest, manifest} = identified;
    void swarm.refreshHeld().then(() =>
      swarm.want(versionDigest, manifest, {
        prefer: 'origin-bytes',
        holders: 'members',
        originBytesPerSecond: model.originRate,
      }),
    );
  }

  function logState({held, ordering: busy}: EngineStatus): void {
    const state = JSON.stringify({held, busy});
    if (state === lastState) return;
    lastState = state;
    log.info('engine', {held, ordering: busy});
  }

  function logUnreachable(error: unknown): void {
    if (lastState === 'unreachable') return;
    lastState = 'unreachable';
    log.warn('engine does not answer', {error});
  }

  return {
    start: signal => void run(signal),
    checkNow: pause.wake,
    fetching: plan.wanted,
    needsWholeLink: () => !isServing || plan.isBehindSchedule(clock()),
  };
}

function isIdle({running, waiting, ordering}: EngineStatus): boolean {
  return running === 0 && waiting === 0 && !ordering;
}
