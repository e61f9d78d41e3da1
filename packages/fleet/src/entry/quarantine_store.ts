import type {
  Milliseconds,
  Quarantine,
  RequestFingerprint,
} from '@hibiscusbeam/core';
import {sleep, type Log} from '@hibiscusbeam/daemon';
import type {FailurePause} from '../link/failure_pause';
import {runFeedLoop, type ReadingScope} from '../link/feed_loop';
import type {QuarantineReading, QuarantineTable} from '../ports';

/** How long one question waits for a change; each question costs a call. */
const LONG_POLL_WAIT: Milliseconds = 25_000;

/** Time beyond the wait after which a question counts as lost. */
const ANSWER_SLACK: Milliseconds = 1_000;

/** Pause after a write without an answer. */
const WRITE_RETRY_PAUSE: Milliseconds = 400;

/** Longest time for one write. */
const WRITE_TIMEOUT: Milliseconds = 800;

/** Rows that the table holds at most, so that it can be read at a start. */
const MAX_ROWS = 1_000;

/** What keeping the quarantine in the store needs. */
export interface QuarantineStoreOptions {
  readonly table: QuarantineTable;
  readonly quarantine: Quarantine;
  /** Told when the store has come back from a copy. */
  readonly onRestore: () => void;
  readonly failurePause: FailurePause;
  readonly log: Log;
}

/** Keeps quarantined requests in the store, for entries that start anew. */
export interface QuarantineStore {
  readonly start: (signal: AbortSignal) => void;
  /** Whether what is stored has been read at all. */
  readonly isKnown: () => boolean;
  /** Writes or removes a row, after this entry has seen a cause for it. */
  readonly update: (fingerprint: RequestFingerprint) => void;
}

/** Creates the keeping of one entry's quarantine. */
export function createQuarantineStore(
  options: QuarantineStoreOptions,
): QuarantineStore {
  const {table, quarantine, log} = options;
  const rows = new Set<RequestFingerprint>();
  /** Requests whose rows were removed, oldest first. */
  const removed = new Set<RequestFingerprint>();
  let era: number | undefined;
  const changed = new Set<RequestFingerprint>();
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
    for (const {fingerprint, isStored} of changes) {
      recordRow(fingerprint, isStored);
      quarantine.recordStored(fingerprint, isStored);
    }
  }

  function recordRow(fingerprint: RequestFingerprint, isStored: boolean): void {
    if (isStored) {
      rows.add(fingerprint);
      removed.delete(fingerprint);
      return;
    }
    if (!rows.delete(fingerprint)) return;
    removed.add(fingerprint);
    const [oldest] = removed;
    if (removed.size > MAX_ROWS && oldest !== undefined) {
      removed.delete(oldest);
    }
  }

  /** Writes again what a restore has lost, and removes what it has brought back. */
  function takeRestored({changes}: QuarantineReading): void {
    const listed = changes
      .filter(({isStored}) => isStored)
      .map(({fingerprint}) => fingerprint);
    const lost = [...rows].filter(row => !listed.includes(row));
    rows.clear();
    for (const fingerprint of listed) {
      rows.add(fingerprint);
      if (removed.has(fingerprint)) changed.add(fingerprint);
      else quarantine.recordStored(fingerprint, true);
    }
    for (const fingerprint of lost) changed.add(fingerprint);
    void writeChanges();
  }

  async function writeChanges(): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    while (changed.size > 0 && stopped?.aborted !== true) {
      for (const fingerprint of [...changed]) await writeChange(fingerprint);
    }
    isWriting = false;
  }

  async function writeChange(fingerprint: RequestFingerprint): Promise<void> {
    const isQuarantined = quarantine.isQuarantined(fingerprint);
    if (isQuarantined === rows.has(fingerprint)) {
      changed.delete(fingerprint);
      return;
    }
    if (isQuarantined) makeRoom();
    const written = isQuarantined
      ? await table.put(fingerprint, WRITE_TIMEOUT)
      : await table.remove(fingerprint, WRITE_TIMEOUT);
    if (written.ok) {
      recordRow(fingerprint, isQuarantined);
      return;
    }
    const {val: error} = written;
    log.warn('quarantine not stored yet', {fingerprint, error});
    await sleep(WRITE_RETRY_PAUSE, stopped);
  }

  /** Gives up the oldest row for a new one. */
  function makeRoom(): void {
    if (rows.size < MAX_ROWS) return;
    const [oldest] = rows;
    if (oldest === undefined) return;
    quarantine.recordStored(oldest, false);
    changed.add(oldest);
  }

  return {
    start: signal => {
      stopped = signal;
      void runFeedLoop(
        {
          name: 'quarantine',
          log,
          readAll: () => table.readAll(ANSWER_SLACK),
          follow: after =>
            table.follow(after, LONG_POLL_WAIT, LONG_POLL_WAIT + ANSWER_SLACK),
          onReading: take,
          pause: options.failurePause.wait,
        },
        signal,
      );
    },
    isKnown: () => isKnown,
    update: fingerprint => {
      changed.add(fingerprint);
      void writeChanges();
    },
  };
}
