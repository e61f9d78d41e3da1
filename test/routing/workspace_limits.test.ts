import type {PublishedUse, WorkspaceLimits} from '@hibiscusbeam/core';
import {SHARE_SUM_BOUND, createWorkspaceLimits} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';

const HEARTBEAT = 500;
const LIMIT = 40;
const STEP = 50;

interface Message {
  readonly at: number;
  readonly to: number;
  readonly published: PublishedUse;
}

function createEntries(count: number): readonly WorkspaceLimits[] {
  const names = Array.from({length: count}, (_, entry) => `entry-${entry}`);
  return names.map(entry => {
    const limits = createWorkspaceLimits({entry, heartbeat: HEARTBEAT});
    limits.setLimit('workspace', LIMIT);
    for (const name of names) limits.entryJoined(name, 0);
    return limits;
  });
}

/** Requests per second that callers send to each entry, by second. */
const anyUse = fc.array(
  fc.array(fc.nat({max: 60}), {minLength: 4, maxLength: 4}),
  {minLength: 3, maxLength: 12},
);

/** Runs four entries and calls `check` after each step. */
function runEntries(
  use: readonly (readonly number[])[],
  delays: readonly number[],
  isCut: (from: number, to: number, now: number) => boolean,
  check: (entries: readonly WorkspaceLimits[], now: number) => void,
): number {
  const entries = createEntries(4);
  let messages: Message[] = [];
  let passed = 0;
  for (let now = 0; now < use.length * 1_000; now += STEP) {
    const due = messages.filter(message => message.at <= now);
    messages = messages.filter(message => message.at > now);
    for (const {to, published} of due) entries[to]!.receive(published, now);
    entries.forEach((limits, from) => {
      const wanted = (use[Math.floor(now / 1_000)]![from]! * STEP) / 1_000;
      for (let request = 0; request < wanted; request += 1) {
        if (limits.take('workspace', now).kind === 'passed') passed += 1;
      }
      // Entries send heartbeats at the same rate but at different times.
      if (now % HEARTBEAT !== from * 100) return;
      const published = limits.publish(now);
      entries.forEach((_, to) => {
        if (to === from || isCut(from, to, now)) return;
        const delay = delays[(from * 4 + to + now) % delays.length]!;
        messages.push({at: now + delay, to, published});
      });
    });
    check(entries, now);
  }
  return passed;
}

function sumOfShares(entries: readonly WorkspaceLimits[], now: number) {
  return entries.reduce(
    (sum, limits) => sum + limits.share('workspace', now),
    0,
  );
}

const anyDelays = fc.array(fc.nat({max: HEARTBEAT - STEP}), {
  minLength: 1,
  maxLength: 5,
});

describe('workspace limits', () => {
  test('add up to the stated bound at any time', () => {
    fc.assert(
      fc.property(anyUse, anyDelays, (use, delays) => {
        const passed = runEntries(
          use,
          delays,
          () => false,
          (entries, now) =>
            expect(sumOfShares(entries, now)).toBeLessThanOrEqual(
              LIMIT * SHARE_SUM_BOUND + 1e-6,
            ),
        );
        const rate = LIMIT * SHARE_SUM_BOUND;
        const burst = Math.max(4 * 4, rate);
        expect(passed).toBeLessThanOrEqual(rate * use.length + burst);
      }),
      propertySettings(200),
    );
  });

  test('add up to the bound through a partition', () => {
    // Two halves of the site receive nothing from each other. If each half
    // shared out the whole limit, a workspace would get twice its limit.
    fc.assert(
      fc.property(anyUse, anyDelays, (use, delays) => {
        runEntries(
          use,
          delays,
          (from, to, now) => now > 1_000 && from % 2 !== to % 2,
          (entries, now) =>
            expect(sumOfShares(entries, now)).toBeLessThanOrEqual(
              LIMIT * SHARE_SUM_BOUND + 1e-6,
            ),
        );
      }),
      propertySettings(200),
    );
  });

  test('give a starting entry little before it receives heartbeats', () => {
    const [starting] = createEntries(4);
    expect(starting!.share('workspace', 0)).toBeLessThan(LIMIT / 4);
  });

  test('move to the entry that has the use', () => {
    const use = Array.from({length: 20}, () => [38, 0, 0, 0]);
    let last = 0;
    runEntries(
      use,
      [50],
      () => false,
      entries => {
        last = entries[0]!.share('workspace', 20_000);
      },
    );
    expect(last).toBeGreaterThan(0.8 * LIMIT);
  });

  test('return a retry delay', () => {
    const [limits] = createEntries(1);
    const decisions = Array.from({length: 100}, () =>
      limits!.take('workspace', 0),
    );
    const limited = decisions.filter(decision => decision.kind === 'limited');
    expect(limited.length).toBeGreaterThan(0);
    for (const decision of limited) {
      if (decision.kind !== 'limited') continue;
      expect(decision.retryAfter).toBeGreaterThan(0);
      expect(decision.retryAfter).toBeLessThanOrEqual(30_000);
    }
  });

  // The first requests of a workspace arrive at the same time, or within a few
  // milliseconds on a quiet machine. Without an initial burst, all but four are
  // refused although the entry may let as many pass each second.
  test('let the first second of a share pass at once', () => {
    const [limits] = createEntries(1);
    const decisions = Array.from({length: LIMIT}, () =>
      limits!.take('workspace', 5_000),
    );
    expect(decisions.every(({kind}) => kind === 'passed')).toBe(true);
  });

  test('let a workspace without a limit pass', () => {
    const [limits] = createEntries(1);
    expect(limits!.take('other', 0)).toEqual({kind: 'passed'});
  });
});
