import type {InstanceName, Milliseconds, MonotonicInstant} from '../types';
import type {ListedTarget} from './types';

/** How long the list of targets may lag behind a store that was away. */
export interface ListMemoryOptions {
  /** Period in which targets renew their lines. */
  readonly heartbeat: Milliseconds;
  /** How long after the store's return a missing line may still come back. */
  readonly returnTime: Milliseconds;
}

/** Knows the targets across an absence of the store. */
export interface ListMemory {
  readonly noteFailure: (now: MonotonicInstant) => void;
  /** Notes that the store came back from a copy, without its last changes. */
  readonly noteRestore: (now: MonotonicInstant) => void;
  /** Takes a fresh list; returns the targets to go by. */
  readonly take: (
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
export function createListMemory(options: ListMemoryOptions): ListMemory {
  let known: readonly ListedTarget[] = [];
  let lostSince: MonotonicInstant | undefined;
  let keepUntil: MonotonicInstant = -Infinity;
  /** Instances whose lines were listed since the store's return. */
  let cameBack = new Set<InstanceName>();

  /** Counts missing lines until their targets have had time to write them. */
  function keepMissing(now: MonotonicInstant): void {
    keepUntil = now + options.returnTime;
    cameBack = new Set();
  }

  return {
    noteFailure: now => {
      lostSince ??= now;
    },
    noteRestore: keepMissing,
    take: (listed, now) => {
      if (lostSince !== undefined && now - lostSince >= options.heartbeat) {
        keepMissing(now);
      }
      lostSince = undefined;
      if (now >= keepUntil) {
        known = listed;
        return known;
      }
      for (const {instance} of listed) cameBack.add(instance);
      // Another life at the address means that the missing one has ended.
      const taken = new Set(listed.map(target => target.address));
      const missing = known.filter(
        ({instance, address}) => !cameBack.has(instance) && !taken.has(address),
      );
      known = [...listed, ...missing];
      return known;
    },
  };
}
