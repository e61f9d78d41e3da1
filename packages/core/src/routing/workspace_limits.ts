import type {
  InstanceName,
  Milliseconds,
  MonotonicInstant,
  WorkspaceName,
} from '../types';
import {
  EVEN_SHARE,
  MIN_LIMIT_BURST,
  MIN_USE_SHARE,
  LIMIT_BURST_SECONDS,
  STALE_HEARTBEATS,
  USE_CHANGE_PER_HEARTBEAT,
} from './constants';

/** One entry's recent use by workspace, as sent with a heartbeat. */
export interface PublishedUse {
  readonly entry: InstanceName;
  readonly use: ReadonlyMap<WorkspaceName, number>;
}

/** Whether a request is within its workspace's limit. */
export type LimitDecision =
  | {readonly kind: 'passed'}
  | {readonly kind: 'limited'; readonly retryAfter: Milliseconds};

/** One entry's shares of the workspaces' limits. */
export interface WorkspaceLimits {
  /** Takes one request from this entry's share of the workspace's limit. */
  readonly take: (
    workspace: WorkspaceName,
    now: MonotonicInstant,
  ) => LimitDecision;
  /** Sets a workspace's limit in requests per second over all entries. */
  readonly setLimit: (workspace: WorkspaceName, limit: number) => void;
  /**
   * Returns the use to send with the next heartbeat; call once per heartbeat.
   */
  readonly publish: (now: MonotonicInstant) => PublishedUse;
  readonly receive: (published: PublishedUse, now: MonotonicInstant) => void;
  /** Counts a live entry from now on, before its first heartbeat arrives. */
  readonly entryJoined: (entry: InstanceName, now: MonotonicInstant) => void;
  /** Removes an entry that has certainly stopped. */
  readonly entryGone: (entry: InstanceName) => void;
  /** Requests per second of the workspace at all entries, as published. */
  readonly siteUse: (workspace: WorkspaceName) => number;
  /** This entry's current share, in requests per second. */
  readonly share: (workspace: WorkspaceName, now: MonotonicInstant) => number;
}

/** Options of an entry's limits. */
export interface WorkspaceLimitsOptions {
  readonly entry: InstanceName;
  readonly heartbeat: Milliseconds;
}

interface OtherEntry {
  /** Undefined until the first heartbeat. */
  readonly use: ReadonlyMap<WorkspaceName, number> | undefined;
  readonly receivedAt: MonotonicInstant;
}

interface LimitState {
  limit: number;
  tokens: number;
  filledAt: MonotonicInstant | undefined;
  requested: number;
  published: number;
}

/**
 * Creates one entry's limits.
 *
 * If each heartbeat arrives within one period, the shares of all entries add up
 * to at most `limit * SHARE_SUM_BOUND`: each entry divides its own use by the
 * sum of the uses it has received, and a received use is smaller than the
 * current one by at most the growth since. For an entry that falls silent the
 * maximum possible growth is assumed, so that the bound also holds during a
 * partition. In addition, each entry may save up one burst.
 */
export function createWorkspaceLimits(
  options: WorkspaceLimitsOptions,
): WorkspaceLimits {
  const workspaces = new Map<WorkspaceName, LimitState>();
  const others = new Map<InstanceName, OtherEntry>();
  let publishedAt: MonotonicInstant | undefined;

  const setLimit = (workspace: WorkspaceName, limit: number): void => {
    const known = workspaces.get(workspace);
    if (known !== undefined) known.limit = limit;
    else workspaces.set(workspace, createLimitState(limit));
  };

  const take = (
    workspace: WorkspaceName,
    now: MonotonicInstant,
  ): LimitDecision => {
    const state = workspaces.get(workspace);
    if (state === undefined) return {kind: 'passed'};
    state.requested += 1;
    const rate = share(workspace, now);
    fill(state, rate, now);
    if (state.tokens >= 1) {
      state.tokens -= 1;
      return {kind: 'passed'};
    }
    return {kind: 'limited', retryAfter: timeToToken(state, rate)};
  };

  const share = (workspace: WorkspaceName, now: MonotonicInstant): number => {
    const state = workspaces.get(workspace);
    if (state === undefined) return Infinity;
    let total = state.published;
    for (const other of others.values()) {
      total += useOf(other, workspace, state.limit) * growthOf(other, now);
    }
    const byUse = (state.limit * state.published) / total;
    const even = state.limit / (others.size + 1);
    return EVEN_SHARE * even + (1 - EVEN_SHARE) * byUse;
  };

  /**
   * Returns the factor by which a silent entry's use may have grown, which
   * lowers this entry's share. Without it, an entry that is cut off would
   * continue with a large share that the others have meanwhile given to
   * themselves.
   */
  const growthOf = (other: OtherEntry, now: MonotonicInstant): number => {
    const heartbeats = (now - other.receivedAt) / options.heartbeat;
    const missed = Math.max(0, heartbeats - STALE_HEARTBEATS);
    return USE_CHANGE_PER_HEARTBEAT ** missed;
  };

  const entryJoined = (entry: InstanceName, now: MonotonicInstant): void => {
    if (entry === options.entry || others.has(entry)) return;
    others.set(entry, {use: undefined, receivedAt: now});
  };

  const siteUse = (workspace: WorkspaceName): number => {
    let total = workspaces.get(workspace)?.published ?? 0;
    for (const other of others.values()) {
      total += other.use?.get(workspace) ?? 0;
    }
    return total;
  };

  const publish = (now: MonotonicInstant): PublishedUse => {
    const elapsed =
      publishedAt === undefined ? options.heartbeat : now - publishedAt;
    publishedAt = now;
    const use = new Map<WorkspaceName, number>();
    for (const [workspace, state] of workspaces) {
      const measured = (state.requested * 1_000) / Math.max(1, elapsed);
      state.published = stepTowards(state, measured);
      state.requested = 0;
      use.set(workspace, state.published);
    }
    return {entry: options.entry, use};
  };

  const receive = (published: PublishedUse, now: MonotonicInstant): void => {
    if (published.entry === options.entry) return;
    others.set(published.entry, {use: published.use, receivedAt: now});
  };

  return {
    take,
    setLimit,
    publish,
    receive,
    entryJoined,
    entryGone: entry => {
      others.delete(entry);
    },
    siteUse,
    share,
  };
}

function createLimitState(limit: number): LimitState {
  return {
    limit,
    tokens: MIN_LIMIT_BURST,
    filledAt: undefined,
    requested: 0,
    published: minUse(limit),
  };
}

/**
 * Limits the change of a published use. A use that jumps would count here at
 * once and elsewhere only after the next heartbeat, so the shares would add up
 * to more than the limit.
 */
function stepTowards(state: LimitState, measured: number): number {
  const maxUse = state.published * USE_CHANGE_PER_HEARTBEAT;
  const floor = state.published / USE_CHANGE_PER_HEARTBEAT;
  const stepped = Math.min(maxUse, Math.max(floor, measured));
  return Math.max(minUse(state.limit), stepped);
}

/**
 * Returns another entry's use. An entry without a heartbeat counts as using the
 * whole limit; otherwise an entry that starts would take the whole limit
 * because it has received no heartbeat yet.
 */
function useOf(
  other: OtherEntry,
  workspace: WorkspaceName,
  limit: number,
): number {
  if (other.use === undefined) return limit;
  return other.use.get(workspace) ?? minUse(limit);
}

/** Use that is assumed for an entry without any, so that it can grow. */
function minUse(limit: number): number {
  return limit * MIN_USE_SHARE;
}

/**
 * Adds the tokens since the last call. The first call adds a full burst;
 * otherwise all but four of a workspace's first simultaneous requests would be
 * refused although its share is hundreds per second.
 */
function fill(state: LimitState, rate: number, now: MonotonicInstant): void {
  const burst = Math.max(MIN_LIMIT_BURST, rate * LIMIT_BURST_SECONDS);
  const elapsed =
    state.filledAt === undefined ? Infinity : now - state.filledAt;
  state.filledAt = now;
  const added = rate === 0 ? 0 : (rate * elapsed) / 1_000;
  state.tokens = Math.min(burst, state.tokens + added);
}

function timeToToken(state: LimitState, rate: number): Milliseconds {
  if (rate <= 0) return MAX_LIMIT_RETRY_AFTER;
  const time = ((1 - state.tokens) * 1_000) / rate;
  return Math.ceil(Math.min(MAX_LIMIT_RETRY_AFTER, time));
}

/** Maximum retry delay for a limited caller. */
const MAX_LIMIT_RETRY_AFTER: Milliseconds = 30_000;
