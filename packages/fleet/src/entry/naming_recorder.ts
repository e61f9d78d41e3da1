import type {Milliseconds} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
import type {ReadingScope} from '../link/feed_loop';
import type {NamedVersion, OperatorFeed} from '../ports';

/**
 * Delay before a record that is due at the start, when an entry may not have
 * found its relay yet, and before a failed one is repeated.
 */
const RECORD_DELAY: Milliseconds = 500;

/** Timeout of one record. */
const RECORD_TIMEOUT: Milliseconds = 800;

/** Attempts to record a naming; the store may be unavailable for seconds. */
const MAX_ATTEMPTS = 20;

/** Dependencies of the naming recorder. */
export interface NamingRecorderOptions {
  readonly feed: Pick<OperatorFeed, 'recordNaming'>;
  readonly log: Log;
  /** Whether this entry reads the operator's table for the site. */
  readonly isReader: () => boolean;
}

/** Records in the store when the names of versions were first read. */
export interface NamingRecorder {
  /**
   * Records a naming that was read with all rows or with changes. Only the
   * entry that reads for the site does.
   */
  readonly record: (named: NamedVersion, scope: ReadingScope) => void;
}

/**
 * Creates the recorder. Changes are recorded at once: all processes may be
 * killed right after a naming, and a version's bound counts from its record.
 */
export function createNamingRecorder(
  options: NamingRecorderOptions,
): NamingRecorder {
  const {feed, log, isReader} = options;

  function write(named: NamedVersion, attempts: number): void {
    if (attempts === 0 || !isReader()) return;
    void feed.recordNaming(named, RECORD_TIMEOUT).then(reply => {
      if (reply.ok) return;
      log.warn('naming was not recorded', {error: reply.val, attempts});
      setTimeout(() => write(named, attempts - 1), RECORD_DELAY);
    });
  }

  return {
    record: (named, scope) => {
      if (scope === 'changes') write(named, MAX_ATTEMPTS);
      else setTimeout(() => write(named, MAX_ATTEMPTS), RECORD_DELAY);
    },
  };
}
