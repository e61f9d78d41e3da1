import type {
  Incarnation,
  InstanceName,
  Milliseconds,
  MonotonicInstant,
} from '@hibiscusbeam/core';

/** How long lists, which lag by seconds, must lack a process to remove it. */
const MIN_DELISTED_TIME: Milliseconds = 30_000;

/** A process that sent a hello here, or was reported by one that got it. */
export interface ProcessAddress {
  readonly instance: InstanceName;
  readonly address: string;
}

/**
 * All processes that this one has learned of and that are not known to have
 * ended. Unlike the membership, it removes no process for silence: a frozen
 * process still acts once it resumes.
 */
export interface KnownProcesses {
  readonly hello: (
    process: ProcessAddress & {readonly incarnation: Incarnation},
  ) => void;
  readonly goodbye: (instance: InstanceName, incarnation: Incarnation) => void;
  /** Applies the platform's complete list as just read. */
  readonly list: (
    instances: readonly InstanceName[],
    now: MonotonicInstant,
  ) => void;
  readonly all: () => readonly ProcessAddress[];
  /** For how long the lists read have lacked the instance. */
  readonly delistedFor: (instance: InstanceName) => Milliseconds;
}

/** Creates the set of known processes, which is empty at first. */
export function createKnownProcesses(): KnownProcesses {
  const known = new Map<
    InstanceName,
    ProcessAddress & {readonly incarnation: Incarnation}
  >();
  const absentSince = new Map<InstanceName, MonotonicInstant>();
  let listed: ReadonlySet<InstanceName> = new Set();
  let lastListAt: MonotonicInstant | undefined;

  // Measured between lists that were read. Otherwise an unavailable platform
  // would count as a report that an instance is gone.
  const delistedFor = (instance: InstanceName): Milliseconds => {
    if (lastListAt === undefined || listed.has(instance)) return 0;
    const since = absentSince.get(instance) ?? lastListAt;
    absentSince.set(instance, since);
    return lastListAt - since;
  };

  return {
    hello: process => {
      const earlier = known.get(process.instance)?.incarnation ?? -1;
      if (process.incarnation < earlier) return;
      const {instance, address, incarnation} = process;
      known.set(instance, {instance, address, incarnation});
    },
    goodbye: (instance, incarnation) => {
      // A late goodbye of an earlier incarnation must not remove this one.
      if (known.get(instance)?.incarnation !== incarnation) return;
      known.delete(instance);
    },
    list: (instances, now) => {
      listed = new Set(instances);
      lastListAt = now;
      for (const instance of instances) absentSince.delete(instance);
      for (const instance of known.keys()) {
        if (delistedFor(instance) >= MIN_DELISTED_TIME) {
          known.delete(instance);
        }
      }
    },
    all: () =>
      [...known.values()].map(({instance, address}) => ({instance, address})),
    delistedFor,
  };
}
