import type {Digest, Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import type {VersionContent} from '../ports';

/** Digests last read or written at each position of the staging area. */
export interface StagedDigests {
  readonly get: (position: number) => Digest | undefined;
  /** Records the digest that a call sent at `requestedAt` read or wrote. */
  readonly record: (
    position: number,
    digest: Digest,
    requestedAt: MonotonicInstant,
  ) => void;
  readonly delete: (position: number) => void;
  /** Deletes all positions but these. */
  readonly retain: (positions: ReadonlySet<number>) => void;
  readonly positionOf: (digest: Digest) => number | undefined;
  readonly list: () => readonly Digest[];
  /** Whether all chunks of the version were found intact. */
  readonly areIntact: (content: VersionContent) => boolean;
  /** Positions of the version that were checked too long ago to rely on it. */
  readonly outdated: (content: VersionContent) => readonly number[];
}

/**
 * Maximum age of the check of a staged chunk that a load relies on. Half as
 * much again may pass until a corrupted chunk is charged to the load.
 */
const MAX_CHECK_AGE: Milliseconds = 2_000;

interface Check {
  readonly digest: Digest;
  readonly at: MonotonicInstant;
}

/** Creates the record; `clock` also counts while the machine is suspended. */
export function createStagedDigests(clock: Clock): StagedDigests {
  const checks = new Map<number, Check>();

  function isOutdated(position: number): boolean {
    return clock() - (checks.get(position)?.at ?? -Infinity) > MAX_CHECK_AGE;
  }

  return {
    get: position => checks.get(position)?.digest,
    record: (position, digest, requestedAt) =>
      void checks.set(position, {digest, at: requestedAt}),
    delete: position => void checks.delete(position),
    retain: positions => {
      for (const position of [...checks.keys()]) {
        if (!positions.has(position)) checks.delete(position);
      }
    },
    positionOf: digest =>
      [...checks].find(([, check]) => check.digest === digest)?.[0],
    list: () => [...checks.values()].map(({digest}) => digest),
    areIntact: ({digests}) =>
      digests.every(
        (digest, position) => checks.get(position)?.digest === digest,
      ),
    outdated: ({digests}) => [...digests.keys()].filter(isOutdated),
  };
}
