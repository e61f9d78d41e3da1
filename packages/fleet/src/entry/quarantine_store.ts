import type {
  Milliseconds,
  Quarantine,
  RequestFingerprint,
} from '@hibiscusbeam/core';
import {sleep, type Log} from '@hibiscusbeam/daemon';
import {runFeedLoop, type ReadingScope} from '../link/feed_loop';
import type {QuarantineReading, QuarantineTable} from '../ports';

/** How long one question waits for a change; each question costs a call. */
const WAIT_FOR_CHANGE: Milliseconds = 25_000;

/** Time beyond the wait after which a question counts as lost. */
const ANSWER_SLACK: Milliseconds = 1_000;

/** Pause after a question, or a write, without an answer. */
const PAUSE_AFTER_FAILURE: Milliseconds = 400;

/** Longest time for one write. */
const WRITE_TIMEOUT: Milliseconds = 800;

/** Rows that the table holds at most, so that it can be read at a start. */
const MOST_ROWS = 1_000;

/** What keeping the quarantine in the store needs. */
export interface QuarantineStoreOptions {
  readonly table: QuarantineTable;
  readonly quarantine: Quarantine;
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
  const changed = new Set<RequestFingerprint>();
  let isKnown = false;
  let isWriting = false;
  let stopped: AbortSignal | undefined;

  function take({changes}: QuarantineReading, scope: ReadingScope): void {
    if (scope === 'all') {
      rows.clear();
      quarantine.forgetStored();
    }
    for (const {fingerprint, isStored} of changes) {
      if (isStored) rows.add(fingerprint);
      else rows.delete(fingerprint);
      quarantine.noteStored(fingerprint, isStored);
    }
    isKnown = true;
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
      if (isQuarantined) rows.add(fingerprint);
      else rows.delete(fingerprint);
      return;
    }
    const {val: error} = written;
    log.warn('quarantine not stored yet', {fingerprint, error});
    await sleep(PAUSE_AFTER_FAILURE, stopped);
  }

  /** Gives up the oldest row for a new one. */
  function makeRoom(): void {
    if (rows.size < MOST_ROWS) return;
    const [oldest] = rows;
    if (oldest === undefined) return;
    quarantine.noteStored(oldest, false);
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
            table.follow(
              after,
              WAIT_FOR_CHANGE,
              WAIT_FOR_CHANGE + ANSWER_SLACK,
            ),
          take,
          pause: () => PAUSE_AFTER_FAILURE,
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
