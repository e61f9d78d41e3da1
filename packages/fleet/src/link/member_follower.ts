import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import {sleep, type Clock, type Log} from '@hibiscusbeam/daemon';
import type {MemberDescription, MemberReading, MemberTable} from '../ports';
import type {FailurePause} from './failure_pause';
import {runFeedLoop, type ReadingScope} from './feed_loop';
import {readSmallTable} from './first_read';

/** How long one request waits for a change; each request costs a call. */
const LONG_POLL_WAIT: Milliseconds = 25_000;

/** Time beyond the wait after which a request counts as lost. */
const ANSWER_SLACK: Milliseconds = 1_000;

/**
 * Pause after a change for each known member, with its minimum and maximum.
 * Without it, when a whole site starts or grows, each process would learn of
 * every other one by a separate call: 98 entries and 111 agents made 28 calls
 * each in 34 s while 46 of them joined, and 22 processes made 20 each while
 * five were replaced. A joining process is reachable before its row is read: it
 * follows its relay and reports to entries by itself.
 */
const PAUSE_PER_MEMBER: Milliseconds = 15;
const MIN_PAUSE: Milliseconds = 1_000;
const MAX_PAUSE: Milliseconds = 3_000;

/** Pause after a write without an answer. */
const PAUSE_AFTER_FAILURE: Milliseconds = 400;

/**
 * How long members are kept whose rows a restored store has lost: until each of
 * them has had an answer that shows the restore, and has written its row again.
 */
const REREGISTRATION_TIMEOUT: Milliseconds = LONG_POLL_WAIT + 2 * ANSWER_SLACK;

/** Timeout for writing the own row. */
const WRITE_TIMEOUT: Milliseconds = 800;

function pauseAfterChange(members: number): Milliseconds {
  const pause = members * PAUSE_PER_MEMBER;
  return Math.min(MAX_PAUSE, Math.max(MIN_PAUSE, pause));
}

/** Options of {@link createMemberFollower}. */
export interface MemberFollowerOptions {
  readonly self: MemberDescription;
  readonly table: MemberTable;
  readonly clock: Clock;
  readonly log: Log;
  readonly failurePause: FailurePause;
  /** Called with all members except this process. */
  readonly onChange: (members: readonly MemberDescription[]) => void;
}

/** Keeps this process registered as a member, and tracks the others. */
export interface MemberFollower {
  readonly start: (signal: AbortSignal) => void;
  /** Whether the members have been read at least once. */
  readonly isKnown: () => boolean;
  /** All members except this process. */
  readonly others: () => readonly MemberDescription[];
  /** Removes this process from the members permanently. */
  readonly leave: () => Promise<void>;
}

/** Creates a follower of the table of members. */
export function createMemberFollower(
  options: MemberFollowerOptions,
): MemberFollower {
  const {self, table, clock, log} = options;
  const known = new Map<string, MemberDescription>();
  /** Members whose rows a restored store has lost. */
  const lost = new Set<string>();
  let lostUntil: MonotonicInstant = -Infinity;
  let era: number | undefined;
  let isKnown = false;
  let isRegistering = false;
  let leaving = false;

  const others = (): readonly MemberDescription[] =>
    [...known.values()].filter(member => member.instance !== self.instance);

  async function applyReading(
    reading: MemberReading,
    scope: ReadingScope,
    signal: AbortSignal,
  ): Promise<void> {
    const {changes} = reading;
    if (scope === 'all') resetMembers(reading);
    const isAnyDropped = dropLost();
    for (const {instance, member} of changes) {
      lost.delete(instance);
      if (member === undefined) known.delete(instance);
      else known.set(instance, member);
    }
    if (scope === 'changes' && changes.length === 0 && !isAnyDropped) return;
    options.onChange(others());
    isKnown = true;
    log.info('members', {others: others().map(member => member.instance)});
    const own = known.get(self.instance);
    if (own?.life !== self.life) void register(signal);
    await sleep(pauseAfterChange(known.size), signal);
  }

  /**
   * Forgets all members, except after a restore, which may have lost their
   * rows.
   */
  function resetMembers(reading: MemberReading): void {
    const isRestored = era !== undefined && reading.era > era;
    era = reading.era;
    lost.clear();
    if (!isRestored) return known.clear();
    for (const instance of known.keys()) lost.add(instance);
    lost.delete(self.instance);
    known.delete(self.instance);
    lostUntil = clock() + REREGISTRATION_TIMEOUT;
  }

  /** Drops members that have not written their rows again in time. */
  function dropLost(): boolean {
    if (lost.size === 0 || clock() < lostUntil) return false;
    for (const instance of lost) known.delete(instance);
    lost.clear();
    return true;
  }

  async function register(signal: AbortSignal): Promise<void> {
    if (isRegistering) return;
    isRegistering = true;
    while (!leaving && !signal.aborted) {
      const written = await table.put(self, WRITE_TIMEOUT);
      if (written.ok) break;
      log.warn('could not register; retrying', {error: written.val});
      await sleep(PAUSE_AFTER_FAILURE, signal);
    }
    isRegistering = false;
  }

  return {
    start: signal =>
      void runFeedLoop(
        {
          name: 'members',
          log,
          readAll: () => readSmallTable(table.readAll),
          follow: after =>
            table.follow(after, LONG_POLL_WAIT, LONG_POLL_WAIT + ANSWER_SLACK),
          onReading: (reading, scope) => applyReading(reading, scope, signal),
          pause: options.failurePause.wait,
        },
        signal,
      ),
    isKnown: () => isKnown,
    others,
    leave: async () => {
      leaving = true;
      const removed = await table.remove(self.instance, WRITE_TIMEOUT);
      if (removed.err) log.warn('could not unregister', {error: removed.val});
    },
  };
}
