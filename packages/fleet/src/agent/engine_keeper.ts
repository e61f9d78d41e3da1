import {
  checkManifest,
  loadTimes,
  loadWave,
  VERSION_MARGIN,
  type Digest,
  type IdentifiedManifest,
  type LoadTimes,
  type Milliseconds,
  type MonotonicInstant,
  type SwarmMember,
} from '@hibiscusbeam/core';
import {
  digestText,
  sleep,
  type Clock,
  type Log,
  type SwarmDriver,
} from '@hibiscusbeam/daemon';
import type {
  EngineControl,
  EngineStanding,
  VersionContent,
  VersionOrigin,
} from '../ports';
import type {OperatorWatch} from './operator_watch';
import {
  findWantedModel,
  identify,
  isServed,
  type WantedModel,
} from './wanted_version';
import {LARGEST_KEPT, type StagedChunks} from './staged_chunks';

/** Period of looks at the own engine; they are free on its own machine. */
const LOOK_PERIOD: Milliseconds = 100;

/** Longest wait for the engine's word. */
const LOOK_TIMEOUT: Milliseconds = 500;

/** Pause before the origin is asked again for a version's content. */
const CONTENT_RETRY: Milliseconds = 200;

/** Pause before an order is given again. */
const ORDER_RETRY: Milliseconds = 300;

/** Share of a version's bound after which its chunks usually have been moved. */
const MOVED_BY = 0.5;

/** What keeping an engine needs. */
export interface EngineKeeperOptions {
  readonly service: string;
  readonly engine: EngineControl;
  readonly origin: VersionOrigin;
  readonly operator: OperatorWatch;
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
  readonly onStanding: (
    standing: EngineStanding,
    loadsIn: Milliseconds | undefined,
  ) => void;
}

/** Keeps an engine at the newest version. */
export interface EngineKeeper {
  readonly start: (signal: AbortSignal) => void;
  /** The versions that are being fetched or are there. */
  readonly fetching: () => readonly FetchedVersion[];
  /** Whether the engine serves requests now. */
  readonly isServing: () => boolean;
}

/** A version that is being fetched or is there. */
export interface FetchedVersion {
  readonly content: VersionContent;
  readonly identified: IdentifiedManifest;
  /** When this agent learned of it. */
  readonly knownSince: MonotonicInstant;
}

/** Creates the keeper of the engine beside this agent. */
export function createEngineKeeper(options: EngineKeeperOptions): EngineKeeper {
  const {engine, operator, staged, swarm, clock, log} = options;
  /** What the engine is to load next, or has loaded. */
  let fetched: FetchedVersion | undefined;
  /** What follows it, fetched while the other still waits for its load. */
  let following: FetchedVersion | undefined;
  /** From when on the version that the engine serves may start nothing. */
  let outdatedAt: MonotonicInstant = Infinity;
  let isLoading = false;
  let held: EngineStanding['held'] = [];
  let contentAskedAt = -Infinity;
  let orderedAt = -Infinity;
  let asking = false;
  let ordering = false;
  let lastState = '';
  let isServing = false;

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const standing = await engine.standing(LOOK_TIMEOUT);
      if (standing.ok) {
        isServing = standing.val.held.length > 0;
        isLoading = standing.val.ordering;
        held = standing.val.held;
        options.onStanding(standing.val, loadsIn(standing.val));
        logState(standing.val);
        look(standing.val);
      } else logUnreachable(standing.val);
      await sleep(LOOK_PERIOD, signal);
    }
  }

  function look(standing: EngineStanding): void {
    const services = operator.reading()?.state.configuration?.services ?? [];
    const model = findWantedModel(services, options.service);
    // Failure: an agent that joins asks the origin for what its neighbours
    // hold, since it has not met them yet.
    if (model === undefined || !options.areMembersKnown()) return;
    const wanted = operator.namedVersion(model.name);
    if (following !== undefined && !goesFirst()) {
      if (isSkipped()) outdatedAt = clock();
      turnTo(following);
    }
    const newest = (following ?? fetched)?.content.version ?? 0;
    const isNewest = fetched !== undefined && newest >= (wanted ?? 0);
    if (!isNewest && mayFetch(model)) void askContent(model, wanted);
    if (fetched === undefined || standing.ordering) return;
    const {identified} = fetched;
    if (isServed(standing, fetched.content)) {
      outdatedAt = Infinity;
      return;
    }
    if (!isReady(identified.versionDigest)) return;
    if (isMyTurn(standing)) void order(fetched);
  }

  /** Time until this engine is to load; undefined if none is near. */
  function loadsIn(standing: EngineStanding): Milliseconds | undefined {
    if (fetched === undefined || standing.ordering) return undefined;
    if (isServed(standing, fetched.content)) return undefined;
    const moved = options.versionBound * MOVED_BY;
    const earliest = Math.max(times().earliest, moved);
    return fetched.knownSince + earliest - clock();
  }

  function times(): LoadTimes {
    const wave = loadWave(options.self, options.members());
    return loadTimes(wave, options.versionBound);
  }

  /** An engine that may start nothing as it is loads at once. */
  function isMyTurn(standing: EngineStanding): boolean {
    if (fetched === undefined || standing.held.length === 0) return true;
    if (clock() >= outdatedAt) return true;
    if (isSkipped()) return false;
    return clock() - fetched.knownSince >= times().earliest;
  }

  /** Whether the version in hand gives way to the one that follows it. */
  function isSkipped(): boolean {
    if (fetched === undefined || following === undefined) return false;
    const gap = following.knownSince - fetched.knownSince;
    return gap < times().committedFrom;
  }

  /**
   * Whether the version in hand keeps the staging area from a newer one. Each
   * version has its bound from its own naming, so one that is well under way is
   * loaded, and the newer one has time after it. One that is skipped stays for
   * the others to fetch, until what the engine serves may start nothing more.
   */
  function goesFirst(): boolean {
    if (fetched === undefined) return false;
    if (isServed({held}, fetched.content) || isLoading) return false;
    const age = clock() - fetched.knownSince;
    const {versionBound} = options;
    const underWay = loadTimes('first', versionBound).committedFrom;
    const end = isSkipped() ? versionBound - VERSION_MARGIN : versionBound;
    return age >= underWay && age < end;
  }

  /** A version too large for the memory waits until the staging area is free. */
  function mayFetch({chunkSize, chunks}: WantedModel): boolean {
    return chunkSize * chunks <= LARGEST_KEPT || !goesFirst();
  }

  function isReady(versionDigest: Digest): boolean {
    return swarm
      .progress()
      .some(entry => entry.versionDigest === versionDigest && entry.ready);
  }

  async function askContent(
    model: WantedModel,
    version: number | undefined,
  ): Promise<void> {
    if (asking || clock() - contentAskedAt < CONTENT_RETRY) return;
    asking = true;
    contentAskedAt = clock();
    const reply = await options.origin.content(
      model.origin,
      model.name,
      version,
    );
    asking = false;
    if (reply.err) {
      log.warn('content of a version not read', {
        model: model.name,
        version,
        error: reply.val,
      });
      return;
    }
    adopt(reply.val, model);
  }

  function adopt(content: VersionContent, model: WantedModel): void {
    const newest = (following ?? fetched)?.content.version ?? 0;
    if (content.version <= newest) return;
    const identified = identify(content, model.chunkSize);
    const checked = checkManifest(
      identified.versionDigest,
      identified.manifest,
      digestText,
    );
    if (checked.err) {
      log.warn('content of a version is malformed', {faults: checked.val});
      return;
    }
    const next: FetchedVersion = {content, identified, knownSince: clock()};
    const follows = goesFirst();
    log.info('fetches a version', {
      model: content.model,
      version: content.version,
      after: follows ? fetched?.content.version : undefined,
    });
    if (follows) follow(next);
    else turnTo(next);
    fetch(next, model);
  }

  /**
   * Fetches a version while the one before it waits for its load.
   *
   * Failure: a version is named four seconds after another. Staged only after
   * the other's load, it comes after its bound; until then no engine may begin
   * anything, and callers are refused for seconds. Guard: its chunks are moved
   * meanwhile and wait in memory.
   */
  function follow(next: FetchedVersion): void {
    if (following !== undefined) abandon(following);
    following = next;
    staged.prepare(next.content);
  }

  function turnTo(next: FetchedVersion): void {
    if (fetched !== undefined) abandon(fetched);
    if (following !== undefined && following !== next) abandon(following);
    following = undefined;
    fetched = next;
    staged.aim(next.content);
  }

  function abandon({identified}: FetchedVersion): void {
    swarm.abandon(identified.versionDigest);
  }

  function fetch({identified}: FetchedVersion, model: WantedModel): void {
    const {versionDigest, manifest} = identified;
    void swarm.refreshHeld().then(() =>
      swarm.want(versionDigest, manifest, {
        prefer: 'origin-bytes',
        holders: options.members().map(({instance}) => instance),
        originBytesPerSecond: model.originRate,
      }),
    );
  }

  async function order({content, identified}: FetchedVersion): Promise<void> {
    if (ordering || clock() - orderedAt < ORDER_RETRY) return;
    ordering = true;
    // Failure: staged bytes turn bad between their arrival and the order, and
    // the engine makes tokens with them. So they are read right before it.
    const reply = await staged.withWhole(content, () =>
      engine.load(content.model, content.version),
    );
    ordering = false;
    orderedAt = clock();
    const {model, version} = content;
    if (reply === undefined) {
      log.warn('staged chunks are not whole; fetches them again', {
        model,
        version,
      });
      await swarm.refreshHeld();
      return;
    }
    if (reply.ok) staged.forget(content);
    log.info('ordered to load', {
      model,
      version,
      versionDigest: identified.versionDigest,
      reply: reply.ok ? reply.val : reply.val,
    });
  }

  function logState({held, ordering: busy}: EngineStanding): void {
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
    fetching: () =>
      [fetched, following].filter(version => version !== undefined),
    isServing: () => isServing,
  };
}
