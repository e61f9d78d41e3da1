import type {InstanceName, Milliseconds, MonotonicInstant} from '../types';
import {createIncarnationMap} from './incarnation_map';
import type {ListedTarget} from './types';

/** Targets of which is remembered that their lines went. */
const MAX_REMOVED_TARGETS = 1_000;

/** Heartbeats without which the store removes a target's line. */
const HEARTBEATS_TO_EXPIRY = 3;

/** How long the list of targets may lag behind a store that was away. */
export interface RetainedTargetListOptions {
  /** Period in which targets renew their lines. */
  readonly heartbeat: Milliseconds;
  /** How long after the store's return a missing line may still come back. */
  readonly recoveryTime: Milliseconds;
}

/** Knows the targets across an absence of the store. */
export interface RetainedTargetList {
  readonly recordFailure: (now: MonotonicInstant) => void;
  /** Notes that the store came back from a copy, without its last changes. */
  readonly recordRestore: (now: MonotonicInstant) => void;
  /** Takes a fresh list; returns the targets to go by. */
  readonly update: (
    listed: readonly ListedTarget[],
    now: MonotonicInstant,
  ) => readonly ListedTarget[];
}

/**
 * Creates the memory of the list.
 *
 * Failure: while the store is away, targets cannot renew their lines and lapse.
 * Just after its return the list is nearly empty, and requests are refused
 * though all targets live. Guard: after an absence of a heartbeat or more,
 * lines that are missing count until the targets have had time to come back.
 * One that came back and goes again has really gone, and counts no longer:
 * kept, the target would be sent requests seconds after it had left.
 */
export function createRetainedTargetList(
  options: RetainedTargetListOptions,
): RetainedTargetList {
  let known: readonly ListedTarget[] = [];
  let lostSince: MonotonicInstant | undefined;
  let keepUntil: MonotonicInstant = -Infinity;
  /** Instances whose lines were listed since the store's return. */
  let cameBack = new Set<InstanceName>();

  const gone = createIncarnationMap<boolean>(MAX_REMOVED_TARGETS);
  /** Until when a line that had gone may be there by an old copy alone. */
  let doubtUntil: MonotonicInstant = -Infinity;

  function withoutGone(
    listed: readonly ListedTarget[],
    now: MonotonicInstant,
  ): readonly ListedTarget[] {
    if (now >= doubtUntil) return listed;
    return listed.filter(target => gone.get(target) !== true);
  }

  function replaceKnown(next: readonly ListedTarget[]): void {
    const left = new Set(next.map(({instance}) => instance));
    for (const target of known) {
      if (!left.has(target.instance)) gone.set(target, true);
    }
    for (const target of next) {
      if (gone.get(target) === true) gone.set(target, false);
    }
    known = next;
  }

  /** Counts missing lines until their targets have had time to write them. */
  function keepMissing(now: MonotonicInstant): void {
    keepUntil = now + options.recoveryTime;
    cameBack = new Set();
  }

  return {
    recordFailure: now => {
      lostSince ??= now;
    },
    recordRestore: now => {
      keepMissing(now);
      doubtUntil = now + HEARTBEATS_TO_EXPIRY * options.heartbeat;
    },
    update: (read, now) => {
      const listed = withoutGone(read, now);
      if (lostSince !== undefined && now - lostSince >= options.heartbeat) {
        keepMissing(now);
      }
      lostSince = undefined;
      if (now >= keepUntil) {
        replaceKnown(listed);
        return known;
      }
      for (const {instance} of listed) cameBack.add(instance);
      // Another life at the address means that the missing one has ended.
      const taken = new Set(listed.map(target => target.address));
      const missing = known.filter(
        ({instance, address}) => !cameBack.has(instance) && !taken.has(address),
      );
      replaceKnown([...listed, ...missing]);
      return known;
    },
  };
}
