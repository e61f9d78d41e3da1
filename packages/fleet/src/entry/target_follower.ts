import {
  createListMemory,
  type Milliseconds,
  type ServiceName,
  type TargetBook,
} from '@hibiscusbeam/core';
import {every, type Clock, type Log} from '@hibiscusbeam/daemon';
import {createUnusableRowLog} from '../link/unusable_row_log';
import type {Revision, TargetList, TargetReading, UnusableRow} from '../ports';

/**
 * Share of the draining bound after which the list is read again. Three reads fit
 * into the bound: one may be lost and the next one late, and a target that was
 * kept for a while after the store's return is dropped sooner.
 */
const READ_SHARE = 0.3;

/**
 * Longest time for one read, as a share of the draining bound: what the period
 * leaves of it, less a little for what follows.
 *
 * Failure: a configuration goes to all processes of a region, and answers of the
 * store come a second late. Given up after 0.6 s and asked anew after a period,
 * an entry learned of a target's leaving 3.3 s after the store had, and sent it
 * requests after its bound of 3 s. Guard: reads begin by the clock, whether or
 * not the one before has been answered, and each may take what is left.
 */
const TIMEOUT_SHARE = 0.5;

/** How long after the store's return lapsed targets may come back. */
const RETURN_TIME: Milliseconds = 2_000;

/** What a follower of the list needs. */
export interface TargetFollowerOptions {
  readonly list: TargetList;
  readonly book: TargetBook;
  readonly clock: Clock;
  readonly log: Log;
  readonly draining: Milliseconds;
  readonly heartbeat: Milliseconds;
  readonly onChange: () => void;
  /** Whether a service is configured; undefined before any configuration. */
  readonly isConfigured: (service: ServiceName) => boolean | undefined;
}

/** Keeps the book in step with the platform's list of targets. */
export function startTargetFollower(
  options: TargetFollowerOptions,
  signal: AbortSignal,
): void {
  const {list, book, clock, log} = options;
  const memory = createListMemory({
    heartbeat: options.heartbeat,
    returnTime: RETURN_TIME,
  });
  const unusableRows = createUnusableRowLog('targets', log);
  const period = options.draining * READ_SHARE;
  let lines = new Map<string, string>();
  let lost = false;
  let newest: Revision = -Infinity;

  async function read(): Promise<void> {
    const reply = await list.read(options.draining * TIMEOUT_SHARE);
    if (signal.aborted) return;
    if (reply.err) memory.noteFailure(clock());
    else if (reply.val.revision >= newest) take(reply.val);
    logReach(reply.err, reply.ok ? undefined : reply.val);
  }

  function take(reading: TargetReading): void {
    newest = reading.revision;
    unusableRows.note([...reading.unusable, ...unconfigured(reading)]);
    const targets = memory.take(reading.targets, clock());
    book.list(targets, clock());
    logChanges(targets);
    options.onChange();
  }

  /** Targets of services that no route can name, as rows that are of no use. */
  function unconfigured(reading: TargetReading): readonly UnusableRow[] {
    return reading.targets
      .filter(({service}) => options.isConfigured(service) === false)
      .map(({instance, service}) => ({
        key: instance,
        // The same for each of its revisions, so that it is told of once.
        revision: 0,
        reason: `service ${service} is not configured`,
      }));
  }

  function logReach(nowLost: boolean, error: unknown): void {
    if (nowLost === lost) return;
    lost = nowLost;
    if (lost) log.warn('list of targets lost', {error});
    else log.info('list of targets regained');
  }

  function logChanges(targets: Parameters<TargetBook['list']>[0]): void {
    const next = new Map(
      targets.map(target => [
        target.instance,
        `${target.service} ${target.address} ${target.leaving ? 'leaving' : 'ready'}`,
      ]),
    );
    for (const [instance, line] of next) {
      if (lines.get(instance) !== line) log.info('target', {instance, line});
    }
    for (const instance of lines.keys()) {
      if (!next.has(instance)) log.info('target gone', {instance});
    }
    lines = next;
  }

  void read();
  signal.addEventListener(
    'abort',
    every(period, () => void read()),
  );
}
