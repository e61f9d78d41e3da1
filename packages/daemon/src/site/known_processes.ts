import type {
  Incarnation,
  InstanceName,
  Milliseconds,
  MonotonicInstant,
} from '@hibiscusbeam/core';

/** A list that lags by seconds must have said "gone" for so long. */
const MIN_DELISTED_TIME: Milliseconds = 30_000;

/** A process that said hello here, or was named by one that heard it. */
export interface ProcessAddress {
  readonly instance: InstanceName;
  readonly address: string;
}

/**
 * Every process that this one has heard of and not seen out since. Unlike the
 * membership it forgets nobody for being silent: a frozen process still acts
 * once it wakes.
 */
export interface KnownProcesses {
  readonly hello: (
    process: ProcessAddress & {readonly incarnation: Incarnation},
  ) => void;
  readonly goodbye: (instance: InstanceName, incarnation: Incarnation) => void;
  /** Takes the platform's list as just read, whole. */
  readonly list: (
    instances: readonly InstanceName[],
    now: MonotonicInstant,
  ) => void;
  readonly all: () => readonly ProcessAddress[];
  /** How long every list that was read has lacked the instance. */
  readonly delistedFor: (instance: InstanceName) => Milliseconds;
}

/** Knows nobody at first. */
export function createKnownProcesses(): KnownProcesses {
  const known = new Map<
    InstanceName,
    ProcessAddress & {readonly incarnation: Incarnation}
  >();
  const absentSince = new Map<InstanceName, MonotonicInstant>();
  let listed: ReadonlySet<InstanceName> = new Set();
  let lastListAt: MonotonicInstant | undefined;

  // Counted between lists that were read: while the platform is down its
  // silence would otherwise pass for word that an instance is gone.
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
      // A late goodbye of an earlier life says nothing about this one.
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
