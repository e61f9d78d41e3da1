import {createTargetRegistry, type EngineLoad} from '@hibiscusbeam/core';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {
  createStreamHandover,
  type MovableStream,
} from '../../packages/fleet/src/entry/stream_handover';
import {engineLoad, engineNeed, engineTarget} from '../fixtures/placement';

const SLOTS = 16;

/** Streams at the engine that is to load: the rest of each in milliseconds. */
const REMAINING_TIMES = [80, 150, 240, 350, 500, 700, 950, 1_300, 1_800, 2_300];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const engine = (instance: string) => engineTarget(instance, {slots: SLOTS});

function load(
  instance: string,
  ordering: boolean,
  running: number,
): EngineLoad {
  return engineLoad(instance, {ordering, running});
}

/** Two engines, one of which takes nothing new and waits for its streams. */
function startSite(movesAllowed = Infinity, isLoading = true) {
  const clock = (): number => Date.now();
  const book = createTargetRegistry({instance: 'entry', zone: 'north'});
  const [loading, other] = [engine('loading'), engine('other')];
  book.list([loading, other], clock());
  const handover = createStreamHandover({
    registry: book,
    clock,
    movesLateStreams: true,
  });
  const moved: number[] = [];
  let movesLeft = movesAllowed;

  function offer(rest: number, changes: Partial<MovableStream> = {}): void {
    const need = () =>
      engineNeed({
        expectedRun: rest,
        tried: new Set(['loading']),
        now: clock(),
      });
    const begunAt = clock();
    handover.offer(loading, {
      need,
      begunAt: () => begunAt,
      rest: () => undefined,
      // A stream that goes on elsewhere is not alone any more.
      mayMove: () => !moved.includes(rest),
      takeMove: () => (movesLeft -= 1) >= 0,
      handOver: () => {
        moved.push(rest);
        const sent = {promptTime: 50, onIncarnationEnded: () => undefined};
        book.begin(other, sent);
      },
      ...changes,
    });
  }

  /** Reports come ten times a second, as agents send them. */
  function report(running = 0): void {
    book.report(load('loading', isLoading, REMAINING_TIMES.length), clock());
    book.report(load('other', false, running), clock());
    handover.check();
  }

  function run(duration: number, running = 0): void {
    for (let passed = 0; passed < duration; passed += 100) {
      report(running);
      vi.advanceTimersByTime(100);
    }
  }

  return {offer, run, moved};
}

// An engine is told to load a version and takes nothing new. It waits for its
// longest stream, 2.3 s, while fifteen slots stand idle and callers are refused.
// Handed on, all that is left after half a second are streams that are nearly
// done: an engine is away for 0.8 s in place of 2.6.
test('long streams leave an engine that is to load, the longest first', () => {
  const {offer, run, moved} = startSite();
  for (const rest of REMAINING_TIMES) offer(rest);
  run(500);
  expect(moved.slice(0, 3)).toEqual([2_300, 1_800, 1_300]);
  const left = REMAINING_TIMES.filter(rest => !moved.includes(rest));
  expect(Math.max(...left)).toBeLessThanOrEqual(500);
});

test('streams that end soon stay', () => {
  const {offer, run, moved} = startSite();
  offer(250);
  run(300);
  expect(moved).toEqual([]);
});

// The other engines are full. A stream that was broken off now would wait for a
// place, and its caller would give it up.
test('nothing is moved without a place elsewhere', () => {
  const {offer, run, moved} = startSite();
  offer(2_000);
  run(500, SLOTS);
  expect(moved).toEqual([]);
});

test('nothing is moved beyond what the site allows', () => {
  const {offer, run, moved} = startSite(2);
  for (const rest of REMAINING_TIMES) offer(rest);
  run(500);
  expect(moved).toHaveLength(2);
});

test('a stream that can’t go on from where it stands stays', () => {
  const {offer, run, moved} = startSite();
  offer(2_000, {mayMove: () => false});
  offer(2_000, {begunAt: () => undefined});
  run(500);
  expect(moved).toEqual([]);
});

// A stream begins in time at an engine that is five times slower, and is cut at
// its caller's deadline 5 s later. On a played day 141 streams ended like that.
test('a stream that won’t end in time goes on at a faster engine', () => {
  const {offer, run, moved} = startSite(Infinity, false);
  const late = {events: 20, pause: 250, typicalPause: 50, timeLeft: 3_000};
  offer(1_000, {rest: () => ({...late, pause: 120})});
  offer(1_001, {rest: () => late});
  offer(1_002, {rest: () => ({...late, events: 40, timeLeft: 8_000})});
  offer(1_003, {rest: () => ({...late, timeLeft: 1_000})});
  run(100);
  expect(moved).toEqual([1_002, 1_001]);
});

// A move finds no place by the time that it is made, and the stream stays where
// it is. Offered once only, it kept its engine from loading until its end.
test('a stream whose move has failed is moved again', () => {
  const {offer, run} = startSite();
  let moves = 0;
  offer(2_300, {
    mayMove: () => moves < 3,
    handOver: () => void (moves += 1),
  });
  run(300);
  expect(moves).toBe(2);
  run(300);
  expect(moves).toBe(3);
});
