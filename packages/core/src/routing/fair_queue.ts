import type {WorkspaceName} from '../types';
import {DISPATCHES_PER_ANY_PRIORITY, MAX_QUEUED_REQUESTS} from './constants';

/** Workspace, priority and weight by which a request is queued. */
export interface QueueClass {
  readonly workspace: WorkspaceName;
  /** Lower numbers go first. */
  readonly priority: number;
  /** Share among workspaces of the same priority; above 0. */
  readonly weight: number;
}

/** Result of adding a request to the queue. */
export type EnqueueResult<Item> =
  | {readonly kind: 'queued'}
  /** No room; the request itself must be refused. */
  | {readonly kind: 'full'}
  /**
   * Queued in place of `item`, the last one of the longest backlog, which must
   * be refused.
   */
  | {readonly kind: 'displaced'; readonly item: Item};

/** A bounded queue that shares turns among workspaces by weight. */
export interface FairQueue<Item> {
  readonly enqueue: (item: Item, queueClass: QueueClass) => EnqueueResult<Item>;
  /** Returns the next item without removing it. */
  readonly peek: () => Item | undefined;
  readonly dequeue: () => Item | undefined;
  /** Removes and returns the items that match `isDropped`. */
  readonly drop: (isDropped: (item: Item) => boolean) => readonly Item[];
  readonly size: () => number;
  /**
   * Returns the number of turns before a new item of `queueClass` has its own,
   * if all waiting items keep waiting: its backlog divided by its share.
   */
  readonly turnsAhead: (queueClass: QueueClass) => number;
  readonly backlogs: () => ReadonlyMap<WorkspaceName, number>;
}

/** Options of a queue. */
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

/** Creates an empty queue with weighted fair queueing within each priority. */
export function createFairQueue<Item>(
  options: FairQueueOptions = {},
): FairQueue<Item> {
  const capacity = options.capacity ?? MAX_QUEUED_REQUESTS;
  const backlogs = new Map<WorkspaceName, Backlog<Item>>();
  const lastFinishTags = new Map<WorkspaceName, number>();
  let size = 0;
  let virtualTime = 0;
  let dispatches = 0;

  const enqueue = (item: Item, queueClass: QueueClass): EnqueueResult<Item> => {
    const displaced = size < capacity ? undefined : displaceFor(queueClass);
    if (size >= capacity) return {kind: 'full'};
    append(item, queueClass);
    return displaced === undefined
      ? {kind: 'queued'}
      : {kind: 'displaced', item: displaced.item};
  };

  const append = (item: Item, queueClass: QueueClass): void => {
    const backlog =
      backlogs.get(queueClass.workspace) ?? addBacklog(queueClass);
    backlog.priority = queueClass.priority;
    backlog.weight = queueClass.weight;
    backlog.items.push(item);
    size += 1;
  };

  const addBacklog = (queueClass: QueueClass): Backlog<Item> => {
    const lastTag = lastFinishTags.get(queueClass.workspace) ?? 0;
    const finishTag = Math.max(virtualTime, lastTag) + 1 / queueClass.weight;
    const backlog: Backlog<Item> = {...queueClass, items: [], finishTag};
    backlogs.set(queueClass.workspace, backlog);
    return backlog;
  };

  /**
   * Removes an empty backlog but keeps its last tag until the virtual time has
   * passed it. Otherwise a workspace that empties its backlog before each turn
   * and rejoins as new would get every turn.
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
   * Makes room in a full queue for a workspace below its share by removing the
   * newest item of the workspace that exceeds its share the most. Without this,
   * a flooding workspace would fill the queue.
   */
  const displaceFor = (queueClass: QueueClass): {item: Item} | undefined => {
    let longest: Backlog<Item> | undefined;
    for (const backlog of backlogs.values()) {
      if (longest === undefined || excess(backlog) > excess(longest)) {
        longest = backlog;
      }
    }
    const own = backlogs.get(queueClass.workspace)?.items.length ?? 0;
    if (longest === undefined) return undefined;
    if ((own + 1) / queueClass.weight >= excess(longest)) return undefined;
    const item = longest.items.pop();
    if (item === undefined) return undefined;
    size -= 1;
    removeEmpty(longest);
    return {item};
  };

  /** Returns the backlog whose turn it is. */
  const next = (): Backlog<Item> | undefined => {
    // Strict priority alone would never serve a low priority while a higher one
    // is backlogged.
    const ignoresPriority =
      dispatches % DISPATCHES_PER_ANY_PRIORITY ===
      DISPATCHES_PER_ANY_PRIORITY - 1;
    let chosen: Backlog<Item> | undefined;
    for (const backlog of backlogs.values()) {
      if (
        chosen === undefined ||
        goesBefore(backlog, chosen, ignoresPriority)
      ) {
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
      const matching = backlog.items.filter(isDropped);
      if (matching.length === 0) continue;
      const kept = backlog.items.filter(item => !matching.includes(item));
      backlog.items.splice(0, backlog.items.length, ...kept);
      size -= matching.length;
      dropped.push(...matching);
      removeEmpty(backlog);
    }
    return dropped;
  };

  const turnsAhead = (queueClass: QueueClass): number => {
    const own = backlogs.get(queueClass.workspace)?.items.length ?? 0;
    let turns = own;
    for (const other of backlogs.values()) {
      if (other.workspace === queueClass.workspace) continue;
      if (other.priority > queueClass.priority) continue;
      if (other.priority < queueClass.priority) {
        turns += other.items.length;
        continue;
      }
      const share = ((own + 1) * other.weight) / queueClass.weight;
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
  ignoresPriority: boolean,
): boolean {
  if (!ignoresPriority && backlog.priority !== chosen.priority) {
    return backlog.priority < chosen.priority;
  }
  return backlog.finishTag < chosen.finishTag;
}
