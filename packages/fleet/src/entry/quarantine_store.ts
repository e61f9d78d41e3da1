import type {Milliseconds, Quarantine, Suspect} from '@hibiscusbeam/core';
import {sleep, type Log} from '@hibiscusbeam/daemon';
import type {FailurePause} from '../link/failure_pause';
import {runFeedLoop, type ReadingScope} from '../link/feed_loop';
import {readSmallTable} from '../link/first_read';
import type {QuarantineReading, QuarantineTable} from '../ports';

/** How long one query waits for a change; each query costs a call. */
const LONG_POLL_WAIT: Milliseconds = 25_000;

/** Time beyond the wait after which a query counts as lost. */
const ANSWER_SLACK: Milliseconds = 1_000;

/** Pause after a failed write. */
const WRITE_RETRY_PAUSE: Milliseconds = 400;

/** Timeout of one write. */
const WRITE_TIMEOUT: Milliseconds = 800;

/**
 * Delay before an entry writes what another one should have written, and the
 * span over which the entries spread it.
 */
const TAKEOVER_DELAY: Milliseconds = 1_000;
const TAKEOVER_SPREAD: Milliseconds = 2_000;

/** Maximum number of rows in the table, so that it can be read at startup. */
const MAX_ROWS = 1_000;

/** Dependencies of the quarantine store. */
export interface QuarantineStoreOptions {
  readonly table: QuarantineTable;
  readonly quarantine: Quarantine;
  /** Called when the store was restored from a copy. */
  readonly onRestore: () => void;
  /** Called once the rows have been read. */
  readonly onKnown: () => void;
  readonly failurePause: FailurePause;
  readonly log: Log;
  /** Differs between entries; from 0 to below 1. */
  readonly spread: number;
}

/** Persists quarantined suspects in the store, for entries that restart. */
export interface QuarantineStore {
  readonly start: (signal: AbortSignal) => void;
  /** Whether the stored rows have been read at least once. */
  readonly isKnown: () => boolean;
  /** Writes or removes a row, after this entry has changed the quarantine. */
  readonly update: (suspect: Suspect) => void;
  /**
   * Writes or removes a row, unless another entry has done so after a while.
   */
  readonly updateLater: (suspect: Suspect) => void;
}

/** Creates the store of one entry's quarantine. */
export function createQuarantineStore(
  options: QuarantineStoreOptions,
): QuarantineStore {
  const {table, quarantine, log} = options;
  const rows = new Set<Suspect>();
  /** Suspects whose rows were removed, oldest first. */
  const removed = new Set<Suspect>();
  let era: number | undefined;
  const changed = new Set<Suspect>();
  let isKnown = false;
  let isWriting = false;
  let stopped: AbortSignal | undefined;

  function take(reading: QuarantineReading, scope: ReadingScope): void {
    const isRestored = era !== undefined && reading.era > era;
    era = reading.era;
    if (isRestored) {
      takeRestored(reading);
      options.onRestore();
    } else takeChanges(reading, scope);
    if (!isKnown) options.onKnown();
    isKnown = true;
  }

  function takeChanges(
    {changes}: QuarantineReading,
    scope: ReadingScope,
  ): void {
    if (scope === 'all') {
      rows.clear();
      quarantine.forgetStored();
    }
    for (const {suspect, isStored} of changes) {
      recordRow(suspect, isStored);
      quarantine.recordStored(suspect, isStored);
    }
  }

  function recordRow(suspect: Suspect, isStored: boolean): void {
    if (isStored) {
      rows.add(suspect);
      removed.delete(suspect);
      return;
    }
    if (!rows.delete(suspect)) return;
    removed.add(suspect);
    const [oldest] = removed;
    if (removed.size > MAX_ROWS && oldest !== undefined) {
      removed.delete(oldest);
    }
  }

  /**
   * Writes the rows again that a restore has lost, and removes those that it
   * has brought back.
   */
  function takeRestored({changes}: QuarantineReading): void {
    const listed = changes
      .filter(({isStored}) => isStored)
      .map(({suspect}) => suspect);
    const lost = [...rows].filter(row => !listed.includes(row));
    rows.clear();
    for (const suspect of listed) {
      rows.add(suspect);
      if (removed.has(suspect)) changed.add(suspect);
      else quarantine.recordStored(suspect, true);
    }
    for (const suspect of lost) changed.add(suspect);
    void writeChanges();
  }

  async function writeChanges(): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    while (changed.size > 0 && stopped?.aborted !== true) {
      for (const suspect of [...changed]) await writeChange(suspect);
    }
    isWriting = false;
  }

  async function writeChange(suspect: Suspect): Promise<void> {
    const isQuarantined = quarantine.isQuarantined(suspect);
    if (isQuarantined === rows.has(suspect)) {
      changed.delete(suspect);
      return;
    }
    if (isQuarantined) makeRoom();
    const written = isQuarantined
      ? await table.put(suspect, WRITE_TIMEOUT)
      : await table.remove(suspect, WRITE_TIMEOUT);
    if (written.ok) {
      recordRow(suspect, isQuarantined);
      return;
    }
    const {val: error} = written;
    log.warn('failed to store a quarantine change', {suspect, error});
    await sleep(WRITE_RETRY_PAUSE, stopped);
  }

  /** Removes the oldest row to make room for a new one. */
  function makeRoom(): void {
    if (rows.size < MAX_ROWS) return;
    const [oldest] = rows;
    if (oldest === undefined) return;
    quarantine.recordStored(oldest, false);
    changed.add(oldest);
  }

  function update(suspect: Suspect): void {
    changed.add(suspect);
    void writeChanges();
  }

  return {
    start: signal => {
      stopped = signal;
      void runFeedLoop(
        {
          name: 'quarantine',
          log,
          readAll: () => readSmallTable(table.readAll),
          follow: after =>
            table.follow(after, LONG_POLL_WAIT, LONG_POLL_WAIT + ANSWER_SLACK),
          onReading: take,
          pause: options.failurePause.wait,
        },
        signal,
      );
    },
    isKnown: () => isKnown,
    update,
    updateLater: suspect => {
      const delay = TAKEOVER_DELAY + TAKEOVER_SPREAD * options.spread;
      void sleep(delay, stopped).then(() => update(suspect));
    },
  };
}
