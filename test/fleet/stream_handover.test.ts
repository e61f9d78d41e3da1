import {createTargetRegistry, type EngineLoad} from '@hibiscusbeam/core';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {
  createStreamHandover,
  type MovableStream,
} from '../../packages/fleet/src/entry/stream_handover';
import {engineLoad, engineRequest, engineTarget} from '../fixtures/placement';

const SLOTS = 16;

/**
 * Streams at the engine that is to load: the remaining time of each in
 * milliseconds.
 */
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

/**
 * Starts two engines, one of which takes no new requests and waits for its
 * streams.
 */
function startSite(movesAllowed = Infinity, isLoading = true) {
  const clock = (): number => Date.now();
  const registry = createTargetRegistry({instance: 'entry', zone: 'north'});
  const [loading, other] = [engine('loading'), engine('other')];
  registry.list([loading, other], clock());
  const handover = createStreamHandover({
    registry,
    clock,
    movesLateStreams: true,
  });
  const moved: number[] = [];
  let movesLeft = movesAllowed;

  function offer(
    remaining: number,
    changes: Partial<MovableStream> = {},
  ): void {
    const need = () =>
      engineRequest({
        expectedRun: remaining,
        tried: new Set(['loading']),
        now: clock(),
      });
    const begunAt = clock();
    handover.offer(loading, {
      need,
      begunAt: () => begunAt,
      rest: () => undefined,
      // A stream that was moved can't be moved again.
      mayMove: () => !moved.includes(remaining),
      takeMove: () => (movesLeft -= 1) >= 0,
      handOver: () => {
        moved.push(remaining);
        const sent = {promptTime: 50, onIncarnationEnded: () => undefined};
        registry.begin(other, sent);
      },
      ...changes,
    });
  }

  /** Reports arrive ten times a second, as agents send them. */
  function report(running = 0): void {
    registry.report(
      load('loading', isLoading, REMAINING_TIMES.length),
      clock(),
    );
    registry.report(load('other', false, running), clock());
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

// An engine that is to load a version takes no new requests. If it waits for
// its longest stream, 2.3 s, fifteen slots are idle and callers are refused. If
// streams are moved, only nearly finished ones are left after half a second:
// the engine is away for 0.8 s instead of 2.6.
test('long streams leave an engine that is to load, the longest first', () => {
  const {offer, run, moved} = startSite();
  for (const remaining of REMAINING_TIMES) offer(remaining);
  run(500);
  expect(moved.slice(0, 3)).toEqual([2_300, 1_800, 1_300]);
  const left = REMAINING_TIMES.filter(remaining => !moved.includes(remaining));
  expect(Math.max(...left)).toBeLessThanOrEqual(500);
});

test('streams that end soon stay', () => {
  const {offer, run, moved} = startSite();
  offer(250);
  run(300);
  expect(moved).toEqual([]);
});

// The other engines are full. A stream that was interrupted now would wait for
// a slot, and its caller would give up.
test('nothing is moved without a slot at another engine', () => {
  const {offer, run, moved} = startSite();
  offer(2_000);
  run(500, SLOTS);
  expect(moved).toEqual([]);
});

test('no more streams are moved than the site allows', () => {
  const {offer, run, moved} = startSite(2);
  for (const remaining of REMAINING_TIMES) offer(remaining);
  run(500);
  expect(moved).toHaveLength(2);
});

test('a stream that can’t be resumed elsewhere stays', () => {
  const {offer, run, moved} = startSite();
  offer(2_000, {mayMove: () => false});
  offer(2_000, {begunAt: () => undefined});
  run(500);
  expect(moved).toEqual([]);
});

// A stream starts in time at an engine that is five times slower, and is cut at
// its caller's deadline 5 s later. In one day of load 141 streams ended like
// that.
test('a stream that won’t end in time continues at a faster engine', () => {
  const {offer, run, moved} = startSite(Infinity, false);
  const late = {events: 20, pause: 250, typicalPause: 50, timeLeft: 3_000};
  offer(1_000, {rest: () => ({...late, pause: 120})});
  offer(1_001, {rest: () => late});
  offer(1_002, {rest: () => ({...late, events: 40, timeLeft: 8_000})});
  offer(1_003, {rest: () => ({...late, timeLeft: 1_000})});
  run(100);
  expect(moved).toEqual([1_002, 1_001]);
});

// A move finds no slot by the time that it is made, and the stream stays where
// it is. If it were offered only once, it would keep its engine from loading
// until its end.
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
