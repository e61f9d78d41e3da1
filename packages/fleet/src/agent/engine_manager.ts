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

/** Period of looks at the own engine while it runs something or a load is due. */
const POLL_PERIOD: Milliseconds = 100;

/**
 * The same while nothing runs and nothing is due. Looks are most of what an idle
 * agent does; entries that send know of their own requests by themselves.
 */
const IDLE_POLL_PERIOD: Milliseconds = 250;

/** Longest wait for the engine's word. */
const STATUS_TIMEOUT: Milliseconds = 500;

/**
 * Least time between the word to the entries that an engine takes nothing more
 * and the order to load. Requests that were sent before it arrive meanwhile: one
 * way takes some ms, and an entry under load some ten.
 */
const DRAIN_BEFORE_LOAD: Milliseconds = 80;

/** What keeping an engine needs. */
export interface EngineManagerOptions {
  readonly service: string;
  readonly engine: EngineControl;
  readonly origin: VersionOrigin;
  readonly operator: OperatorMonitor;
  readonly versions: NamedVersions;
  readonly staged: StagedChunks;
  readonly swarm: SwarmDriver;
  /** This agent and the others, as members of the swarm. */
  readonly self: SwarmMember;
  readonly members: () => readonly SwarmMember[];
  readonly areMembersKnown: () => boolean;
  /** Time after a version's naming in which all must have it. */
  readonly versionBound: Milliseconds;
  readonly clock: Clock;
  readonly log: Log;
  /** Told of each look, and of the time until a load if one is near. */
  readonly onStatus: (
    standing: EngineStatus,
    loadsIn: Milliseconds | undefined,
  ) => void;
}

/** Keeps an engine at the newest version. */
export interface EngineManager {
  readonly start: (signal: AbortSignal) => void;
  /** Looks at the engine at once, since a version was named. */
  readonly checkNow: () => void;
  /** The versions that are being fetched or are there. */
  readonly fetching: () => readonly FetchedVersion[];
  /** Whether transfers may take the whole link of the machine. */
  readonly needsWholeLink: () => boolean;
}

/** Creates the keeper of the engine beside this agent. */
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
      swarm.isWithinReach(identified.versionDigest),
    fitsOutsideStaging: ({identified: {manifest}}) =>
      fitsInMemory(manifest.chunks.length, manifest.chunks[0]?.size ?? 0),
  });
  let life: IncarnationStamp = {born: undefined};
  let lastState = '';
  let isServing = false;
  let isReachable = true;
  /** Since when the entries know of a load that is due; undefined if none is. */
  let closedAt: MonotonicInstant | undefined;
  const pause = createWakeablePause();

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const requestedAt = clock();
      const standing = await engine.standing(STATUS_TIMEOUT);
      updateReachable(standing.ok);
      if (standing.ok) orders.recordAnswer(requestedAt);
      if (standing.ok) applyStatus(standing.val);
      else logUnreachable(standing.val);
      fetchNewest();
      if (standing.ok) loadIfDue(standing.val);
      const isSettled = standing.ok && isIdle(standing.val) && isNothingDue();
      await pause.sleep(isSettled ? IDLE_POLL_PERIOD : POLL_PERIOD, signal);
    }
  }

  /** Whether the engine serves the newest version that is known of. */
  function isNothingDue(): boolean {
    const model = findWantedModel(operator.services(), options.service);
    if (model === undefined || plan.current() === undefined) return false;
    const wanted = options.versions.newest(model.name) ?? 0;
    return plan.isServed() && plan.newest() >= wanted && closedAt === undefined;
  }

  function applyStatus(standing: EngineStatus): void {
    updateIncarnation(standing);
    isServing = standing.held.length > 0;
    const {ordering: isLoading} = standing;
    const served = servedVersion(standing);
    applyStep(plan.observe({served, isLoading}, clock()));
    report(standing);
    logState(standing);
  }

  function report(standing: EngineStatus): void {
    const ordering = standing.ordering || closedAt !== undefined;
    options.onStatus({...standing, ordering}, plan.loadsIn(clock()));
  }

  /** What lies staged is read once the engine answers. */
  function updateReachable(isReachableNow: boolean): void {
    if (isReachable === isReachableNow) return;
    isReachable = isReachableNow;
    staged.setReachable(isReachable);
    if (isReachable) void swarm.refreshHeld();
  }

  /**
   * Failure: an engine starts again under its id right after an order, and its
   * load waits for a pause that belongs to the former life. What lies staged is
   * read again before the order in any case.
   */
  function updateIncarnation(standing: EngineStatus): void {
    if (standing.born === undefined || life.born === standing.born) return;
    const isFirst = life.born === undefined;
    life = {born: standing.born};
    if (isFirst) return;
    log.info('engine has started anew', {born: standing.born});
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
    // Failure: an agent that joins asks the origin for what its neighbours
    // hold, since it has not met them yet.
    if (model === undefined || !options.areMembersKnown()) return;
    const wanted = options.versions.newest(model.name);
    const newest = plan.newest();
    const isNewest = newest > 0 && newest >= (wanted ?? 0);
    if (!isNewest && mayFetch(model)) void fetchContent(model, wanted);
  }

  function loadIfDue(standing: EngineStatus): void {
    const due = findDueLoad();
    if (due === undefined) {
      closedAt = undefined;
      return;
    }
    if (!mayOrder(standing)) return;
    void orders.orderLoad(due);
  }

  function findDueLoad(): FetchedVersion | undefined {
    const inHand = plan.current();
    if (inHand === undefined || plan.isServed()) return undefined;
    if (!isReady(inHand.identified.versionDigest)) return undefined;
    plan.recordTransferred(clock());
    return plan.mayLoad(clock()) ? inHand : undefined;
  }

  /**
   * Failure: a request reaches an engine right after the order to load. It waits
   * there for all that runs and for the load, 1.6 s, and begins on the version
   * just loaded after the bound of the next one. Guard: entries send nothing more
   * before the order is given.
   */
  function mayOrder(standing: EngineStatus): boolean {
    if (!isServing) return true;
    if (closedAt === undefined) {
      closedAt = clock();
      report(standing);
    }
    return clock() - closedAt >= DRAIN_BEFORE_LOAD;
  }

  /** A version too large for the memory waits until it can be staged at once. */
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
   * Failure: the origin is away when a version is named, and its content is read
   * six seconds later. With the bound counted from then, chunks get 0.7 of the
   * link and loads wait for their turns, while no request may begin anywhere.
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
   * Failure: a version is named four seconds after another. Staged only after
   * the other's load, it comes after its bound; until then no engine may begin
   * anything, and callers are refused for seconds. Guard: its chunks are moved
   * meanwhile and wait in memory.
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
