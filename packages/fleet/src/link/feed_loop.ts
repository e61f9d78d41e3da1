import type {Log} from '@hibiscusbeam/daemon';
import type {Result} from 'ts-results';
import type {HostError, Revision, StoreReading} from '../ports';
import {createEraLog} from './era_log';
import {createUnusableRowLog} from './unusable_row_log';

/** What a reading covers. */
export type ReadingScope =
  /** All rows, as of one moment. */
  | 'all'
  /** The rows that have changed since the reading before. */
  | 'changes';

/** How a table is read and followed. */
export interface FeedLoopOptions<Reading extends StoreReading> {
  /** Names the table in log lines. */
  readonly name: string;
  readonly readAll: () => Promise<Result<Reading, HostError>>;
  readonly follow: (after: Revision) => Promise<Result<Reading, HostError>>;
  /** Takes a reading; the next question is asked once it is done. */
  readonly onReading: (
    reading: Reading,
    scope: ReadingScope,
  ) => void | Promise<void>;
  /** Waits after so many questions in a row without an answer. */
  readonly pause: (failures: number, signal: AbortSignal) => Promise<void>;
  readonly log: Log;
}

/**
 * Reads a table whole, then what changes, until the signal aborts. It is read
 * whole again only if the store no longer knows what has changed.
 *
 * Failure: a link is narrow, and a question is given up before its answer is
 * through. A table of 0.4 MB that is then asked for whole, though nothing in it is
 * new, fills the link for the others too, and none of them gets its answer. Guard:
 * after a failure, the changes since the last reading are asked for again.
 */
export async function runFeedLoop<Reading extends StoreReading>(
  options: FeedLoopOptions<Reading>,
  signal: AbortSignal,
): Promise<void> {
  const {name, log} = options;
  const unusableRows = createUnusableRowLog(name, log);
  let revision: Revision | undefined;
  const recordEra = createEraLog(name, log);
  let failures = 0;
  /** Questions for changes in a row that the store no longer knows. */
  let historyLosses = 0;
  while (!signal.aborted) {
    const scope = revision === undefined ? 'all' : 'changes';
    const reply = await (revision === undefined
      ? options.readAll()
      : options.follow(revision));
    if (reply.ok) {
      if (failures > 0) log.info(`${name} regained`, {failures});
      failures = 0;
      if (scope === 'changes') historyLosses = 0;
      recordEra(reply.val);
      revision = reply.val.revision;
      unusableRows.record(reply.val.unusable);
      await options.onReading(reply.val, scope);
      continue;
    }
    if (reply.val.kind === 'historyLost') {
      revision = undefined;
      log.info(`${name} is read whole`, {reason: reply.val.kind});
      // A store that knows no changes at all would be asked without a pause.
      if (historyLosses > 0) await options.pause(historyLosses, signal);
      historyLosses += 1;
      continue;
    }
    failures += 1;
    if (failures === 1) log.warn(`${name} lost`, {error: reply.val});
    await options.pause(failures, signal);
  }
}
