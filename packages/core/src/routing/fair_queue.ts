import type {WorkspaceName} from '../types';
import {DISPATCHES_PER_ANY_PRIORITY, MAX_QUEUED_REQUESTS} from './constants';

/** Where a request belongs in the queue. */
export interface QueueClass {
  readonly workspace: WorkspaceName;
  /** Lower numbers go first. */
  readonly priority: number;
  /** Share among workspaces of the same priority; above 0. */
  readonly weight: number;
}

/** What became of a request that was put into the queue. */
export type EnqueueResult<Item> =
  | {readonly kind: 'queued'}
  /** No room; the request itself is refused. */
  | {readonly kind: 'full'}
  /** Queued in place of `item`, the last of the longest backlog: refuse it. */
  | {readonly kind: 'displaced'; readonly item: Item};

/** A bounded queue that shares turns among workspaces by weight. */
export interface FairQueue<Item> {
  readonly enqueue: (item: Item, place: QueueClass) => EnqueueResult<Item>;
  /** The item whose turn it is; it stays in the queue. */
  readonly peek: () => Item | undefined;
  readonly dequeue: () => Item | undefined;
  /** Removes items that `isDropped` names and returns them. */
  readonly drop: (isDropped: (item: Item) => boolean) => readonly Item[];
  readonly size: () => number;
  /**
   * Turns until a new item of `place` would have its own, while all others
   * that wait now keep waiting: its backlog over its share.
   */
  readonly turnsAhead: (place: QueueClass) => number;
  readonly backlogs: () => ReadonlyMap<WorkspaceName, number>;
}

/** Bounds of a queue. */
export interface FairQueueOptions {
  readonly capacity?: number;
}

interface Backlog<Item> {
  readonly workspace: WorkspaceName;
  priority: number;
  weight: number;
  readonly items: Item[];
  /** Virtual time at which the first item's turn ends. */
  finishTag: number;
}

/** Creates an empty queue: weighted fair queueing within each priority. */
export function createFairQueue<Item>(
  options: FairQueueOptions = {},
): FairQueue<Item> {
  const capacity = options.capacity ?? MAX_QUEUED_REQUESTS;
  const backlogs = new Map<WorkspaceName, Backlog<Item>>();
  const lastFinishTags = new Map<WorkspaceName, number>();
  let size = 0;
  let virtualTime = 0;
  let dispatches = 0;

  const enqueue = (item: Item, place: QueueClass): EnqueueResult<Item> => {
    const displaced = size < capacity ? undefined : displaceFor(place);
    if (size >= capacity) return {kind: 'full'};
    append(item, place);
    return displaced === undefined
      ? {kind: 'queued'}
      : {kind: 'displaced', item: displaced.item};
  };

  const append = (item: Item, place: QueueClass): void => {
    const backlog = backlogs.get(place.workspace) ?? addBacklog(place);
    backlog.priority = place.priority;
    backlog.weight = place.weight;
    backlog.items.push(item);
    size += 1;
  };

  const addBacklog = (place: QueueClass): Backlog<Item> => {
    const lastTag = lastFinishTags.get(place.workspace) ?? 0;
    const finishTag = Math.max(virtualTime, lastTag) + 1 / place.weight;
    const backlog: Backlog<Item> = {...place, items: [], finishTag};
    backlogs.set(place.workspace, backlog);
    return backlog;
  };

  /**
   * Guard against a workspace that empties its backlog before each turn and
   * joins again as if new: it would get every turn. Its last tag is kept until
   * the virtual time has passed it.
   */
  const removeEmpty = (backlog: Backlog<Item>): void => {
    if (backlog.items.length > 0) return;
    backlogs.delete(backlog.workspace);
    lastFinishTags.set(
      backlog.workspace,
      backlog.finishTag - 1 / backlog.weight,
    );
    for (const [workspace, tag] of lastFinishTags) {
      if (tag <= virtualTime) lastFinishTags.delete(workspace);
    }
  };

  /**
   * Guard against a flooding workspace that fills the queue: a workspace with
   * less than its share takes the place of the newest item of the one that is
   * furthest over its share.
   */
  const displaceFor = (place: QueueClass): {item: Item} | undefined => {
    let longest: Backlog<Item> | undefined;
    for (const backlog of backlogs.values()) {
      if (longest === undefined || excess(backlog) > excess(longest)) {
        longest = backlog;
      }
    }
    const own = backlogs.get(place.workspace)?.items.length ?? 0;
    if (longest === undefined) return undefined;
    if ((own + 1) / place.weight >= excess(longest)) return undefined;
    const item = longest.items.pop();
    if (item === undefined) return undefined;
    size -= 1;
    removeEmpty(longest);
    return {item};
  };

  /** The backlog whose turn it is. */
  const next = (): Backlog<Item> | undefined => {
    // Guard against starvation: strict priority alone would never serve a low
    // priority while a higher one is backlogged.
    const anyPriority =
      dispatches % DISPATCHES_PER_ANY_PRIORITY ===
      DISPATCHES_PER_ANY_PRIORITY - 1;
    let chosen: Backlog<Item> | undefined;
    for (const backlog of backlogs.values()) {
      if (chosen === undefined || goesBefore(backlog, chosen, anyPriority)) {
        chosen = backlog;
      }
    }
    return chosen;
  };

  const dequeue = (): Item | undefined => {
    const backlog = next();
    const item = backlog?.items.shift();
    if (backlog === undefined || item === undefined) return undefined;
    dispatches += 1;
    size -= 1;
    virtualTime = Math.max(virtualTime, backlog.finishTag - 1 / backlog.weight);
    backlog.finishTag += 1 / backlog.weight;
    removeEmpty(backlog);
    return item;
  };

  const drop = (isDropped: (item: Item) => boolean): readonly Item[] => {
    const dropped: Item[] = [];
    for (const backlog of backlogs.values()) {
      const gone = backlog.items.filter(isDropped);
      if (gone.length === 0) continue;
      const kept = backlog.items.filter(item => !gone.includes(item));
      backlog.items.splice(0, backlog.items.length, ...kept);
      size -= gone.length;
      dropped.push(...gone);
      removeEmpty(backlog);
    }
    return dropped;
  };

  const turnsAhead = (place: QueueClass): number => {
    const own = backlogs.get(place.workspace)?.items.length ?? 0;
    let turns = own;
    for (const other of backlogs.values()) {
      if (other.workspace === place.workspace) continue;
      if (other.priority > place.priority) continue;
      if (other.priority < place.priority) {
        turns += other.items.length;
        continue;
      }
      const share = ((own + 1) * other.weight) / place.weight;
      turns += Math.min(other.items.length, share);
    }
    return turns;
  };

  return {
    enqueue,
    peek: () => next()?.items[0],
    dequeue,
    drop,
    size: () => size,
    turnsAhead,
    backlogs: () =>
      new Map(
        [...backlogs.values()].map(b => [b.workspace, b.items.length] as const),
      ),
  };
}

function excess<Item>(backlog: Backlog<Item>): number {
  return backlog.items.length / backlog.weight;
}

function goesBefore<Item>(
  backlog: Backlog<Item>,
  chosen: Backlog<Item>,
  anyPriority: boolean,
): boolean {
  if (!anyPriority && backlog.priority !== chosen.priority) {
    return backlog.priority < chosen.priority;
  }
  return backlog.finishTag < chosen.finishTag;
}
