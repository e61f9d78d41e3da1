import type {InstanceName, Milliseconds, MonotonicInstant} from '../types';
import {createIncarnationMap} from './incarnation_map';
import type {ListedTarget} from './types';

/** Number of removed targets that are remembered. */
const MAX_REMOVED_TARGETS = 1_000;

/** Missed heartbeats after which the store removes a target's row. */
const HEARTBEATS_TO_EXPIRY = 3;

/** How long the list may lag behind after a store outage. */
export interface RetainedTargetListOptions {
  /** Period in which targets renew their rows. */
  readonly heartbeat: Milliseconds;
  /** How long after the store's return a missing row may still come back. */
  readonly recoveryTime: Milliseconds;
}

/** The list of targets, retained across store outages. */
export interface RetainedTargetList {
  readonly recordFailure: (now: MonotonicInstant) => void;
  /**
   * Records that the store was restored from a copy without its last changes.
   */
  readonly recordRestore: (now: MonotonicInstant) => void;
  /** Applies a fresh list and returns the targets to use. */
  readonly update: (
    listed: readonly ListedTarget[],
    now: MonotonicInstant,
  ) => readonly ListedTarget[];
}

/**
 * Creates the retained list.
 *
 * During a store outage targets can't renew their rows, and the rows expire.
 * Without this, the list is nearly empty just after the store's return, and
 * requests are refused although all targets run. After an outage of a heartbeat
 * or more, missing rows count until the targets have had time to write them
 * again.
 *
 * A target that came back and disappears again is removed at once. Otherwise it
 * would be sent requests for seconds after it had left.
 */
export function createRetainedTargetList(
  options: RetainedTargetListOptions,
): RetainedTargetList {
  let current: readonly ListedTarget[] = [];
  let outageSince: MonotonicInstant | undefined;
  let retainUntil: MonotonicInstant = -Infinity;
  /** Instances whose rows were listed since the store's return. */
  let returned = new Set<InstanceName>();

  const removed = createIncarnationMap<boolean>(MAX_REMOVED_TARGETS);
  /** Until when the row of a removed target may stem from an old copy only. */
  let restoredRowsUntil: MonotonicInstant = -Infinity;

  function withoutRemoved(
    listed: readonly ListedTarget[],
    now: MonotonicInstant,
  ): readonly ListedTarget[] {
    if (now >= restoredRowsUntil) return listed;
    return listed.filter(target => removed.get(target) !== true);
  }

  function replaceCurrent(next: readonly ListedTarget[]): void {
    const remaining = new Set(next.map(({instance}) => instance));
    for (const target of current) {
      if (!remaining.has(target.instance)) removed.set(target, true);
    }
    for (const target of next) {
      if (removed.get(target) === true) removed.set(target, false);
    }
    current = next;
  }

  /** Retains missing rows until their targets have had time to write them. */
  function retainMissing(now: MonotonicInstant): void {
    retainUntil = now + options.recoveryTime;
    returned = new Set();
  }

  return {
    recordFailure: now => {
      outageSince ??= now;
    },
    recordRestore: now => {
      retainMissing(now);
      restoredRowsUntil = now + HEARTBEATS_TO_EXPIRY * options.heartbeat;
    },
    update: (read, now) => {
      const listed = withoutRemoved(read, now);
      if (outageSince !== undefined && now - outageSince >= options.heartbeat) {
        retainMissing(now);
      }
      outageSince = undefined;
      if (now >= retainUntil) {
        replaceCurrent(listed);
        return current;
      }
      for (const {instance} of listed) returned.add(instance);
      // A different incarnation at the address means the missing one has ended.
      const usedAddresses = new Set(listed.map(target => target.address));
      const missing = current.filter(
        ({instance, address}) =>
          !returned.has(instance) && !usedAddresses.has(address),
      );
      replaceCurrent([...listed, ...missing]);
      return current;
    },
  };
}
