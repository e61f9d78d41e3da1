import type {Bytes, Milliseconds} from '@hibiscusbeam/core';
import {monotonicClock, type Clock, type Log} from '@hibiscusbeam/daemon';
import type {HostError} from '../ports';
import type {CallProgress} from '../link/http_calls';

/** Time after which a start that isn't complete is logged as such. */
const INCOMPLETE_AFTER: Milliseconds = 10_000;

/** State that a process needs before it can do its work. */
export type StartupPart =
  'configuration' | 'services' | 'members' | 'targets' | 'quarantine';

/** Where a process got its state from. */
export type StartupSource =
  | 'store'
  /** Another entry, by its updates to followers or its replies to agents. */
  | 'entry';

/** A call to the store that has ended. */
export interface StoreCallRecord {
  readonly table: string;
  /** Bytes of the answer that have arrived, also if it is incomplete. */
  readonly received: Bytes;
  readonly duration: Milliseconds;
  /** Why there is no answer; undefined if there is one. */
  readonly failure: HostError['kind'] | CallProgress | undefined;
}

/** Records what a starting process reads, until it has what it needs. */
export interface StartupLog {
  readonly recordCall: (call: StoreCallRecord) => void;
  /** Records that a part is known; only the first time counts. */
  readonly recordKnown: (part: StartupPart, source: StartupSource) => void;
}

/** Records nothing. */
export const NO_STARTUP_LOG: Pick<StartupLog, 'recordKnown'> = {
  recordKnown: () => undefined,
};

/** Calls of a start for one table. */
interface TableCalls {
  calls: number;
  received: Bytes;
  /** Time of all calls together. */
  duration: Milliseconds;
  readonly failures: Record<string, number>;
}

/**
 * Creates the log of a start. It writes one line once all `required` parts are
 * known, and one before that if they are not known in time.
 */
export function createStartupLog(
  required: readonly StartupPart[],
  log: Log,
  clock: Clock = monotonicClock,
): StartupLog {
  const startedAt = clock();
  const tables: Record<string, TableCalls> = {};
  const known: Partial<Record<StartupPart, object>> = {};
  let isComplete = false;

  function missing(): readonly StartupPart[] {
    return required.filter(part => known[part] === undefined);
  }

  function fields() {
    const {user, system} = process.cpuUsage();
    return {
      duration: Math.round(clock() - startedAt),
      processorTime: Math.round((user + system) / 1_000),
      known,
      store: tables,
    };
  }

  function recordCall(call: StoreCallRecord): void {
    if (isComplete) return;
    const {table, received, duration, failure} = call;
    const sum = (tables[table] ??= {
      calls: 0,
      received: 0,
      duration: 0,
      failures: {},
    });
    sum.calls += 1;
    sum.received += received;
    sum.duration += Math.round(duration);
    if (failure === undefined) return;
    sum.failures[failure] = (sum.failures[failure] ?? 0) + 1;
  }

  function recordKnown(part: StartupPart, source: StartupSource): void {
    if (isComplete || known[part] !== undefined) return;
    known[part] = {source, at: Math.round(clock() - startedAt)};
    if (missing().length > 0) return;
    isComplete = true;
    clearTimeout(timer);
    log.info('start complete', fields());
  }

  const timer = setTimeout(
    () => log.warn('start incomplete', {missing: missing(), ...fields()}),
    INCOMPLETE_AFTER,
  );
  timer.unref();
  return {recordCall, recordKnown};
}
