import type {Log} from '@hibiscusbeam/daemon';
import type {Result} from 'ts-results';
import type {HostError, Revision, StoreReading} from '../ports';
import {createEraLog} from './era_log';
import {createUnusableRowLog} from './unusable_row_log';

/** What a reading covers. */
export type ReadingScope =
  /** All rows, as of one point in time. */
  | 'all'
  /** The rows that have changed since the previous reading. */
  | 'changes';

/** Options of {@link runFeedLoop}. */
export interface FeedLoopOptions<Reading extends StoreReading> {
  /** Name of the table in log lines. */
  readonly name: string;
  /**
   * Waits until the first request is due. Returns the revision that is known
   * from another process; undefined if all rows must be read.
   */
  readonly awaitFirst?: (signal: AbortSignal) => Promise<Revision | undefined>;
  readonly readAll: () => Promise<Result<Reading, HostError>>;
  readonly follow: (after: Revision) => Promise<Result<Reading, HostError>>;
  /** Handles a reading; the next request is sent once it has finished. */
  readonly onReading: (
    reading: Reading,
    scope: ReadingScope,
  ) => void | Promise<void>;
  /** Waits after the given number of consecutive requests without an answer. */
  readonly pause: (failures: number, signal: AbortSignal) => Promise<void>;
  readonly log: Log;
}

/**
 * Reads a whole table, then its changes, until the signal aborts. The whole
 * table is read again only if the store no longer knows what has changed.
 *
 * A request over a narrow link may time out before its answer is complete.
 * After a failure, the changes since the last reading are requested again:
 * requesting a whole table of 0.4 MB instead, though nothing in it is new,
 * would saturate the link for the others too, so that none of them gets its
 * answer.
 */
export async function runFeedLoop<Reading extends StoreReading>(
  options: FeedLoopOptions<Reading>,
  signal: AbortSignal,
): Promise<void> {
  const {name, log} = options;
  const unusableRows = createUnusableRowLog(name, log);
  let revision: Revision | undefined;
  /** Whether no request has shown the store's rows or changes yet. */
  let isStarting = true;
  const recordEra = createEraLog(name, log);
  let failures = 0;
  /** Consecutive requests for changes that the store no longer knows. */
  let historyLosses = 0;
  /** Of the last reading that could not be applied. */
  let unappliedRevision: Revision | undefined;

  /**
   * Handles a reading. If a row that passes the checks can't be used, that must
   * not end the process; the same reading is requested again after a pause.
   */
  async function isApplied(
    reading: Reading,
    scope: ReadingScope,
  ): Promise<boolean> {
    try {
      await options.onReading(reading, scope);
      return true;
    } catch (error) {
      const isFirst = unappliedRevision !== reading.revision;
      unappliedRevision = reading.revision;
      if (isFirst) log.error(`${name} not applied`, {error});
      return false;
    }
  }

  while (!signal.aborted) {
    if (isStarting) revision = await options.awaitFirst?.(signal);
    if (signal.aborted) return;
    const scope = revision === undefined ? 'all' : 'changes';
    const reply = await (revision === undefined
      ? options.readAll()
      : options.follow(revision));
    if (reply.ok) {
      unusableRows.record(reply.val.unusable);
      if (await isApplied(reply.val, scope)) {
        if (failures > 0) log.info(`${name} regained`, {failures});
        failures = 0;
        if (scope === 'changes') historyLosses = 0;
        recordEra(reply.val);
        revision = reply.val.revision;
        isStarting = false;
      } else await options.pause((failures += 1), signal);
      continue;
    }
    if (reply.val.kind === 'historyLost') {
      isStarting = false;
      revision = undefined;
      log.info(`${name} is read whole`, {reason: reply.val.kind});
      // Without this pause, a store that knows no changes at all would be
      // queried in a tight loop.
      if (historyLosses > 0) await options.pause(historyLosses, signal);
      historyLosses += 1;
      continue;
    }
    failures += 1;
    if (failures === 1) log.warn(`${name} lost`, {error: reply.val});
    await options.pause(failures, signal);
  }
}
