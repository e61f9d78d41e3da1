import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createFailurePause} from '../../packages/fleet/src/link/failure_pause';

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const {signal} = new AbortController();

/** Counts the requests within a time to a store that answers none of them. */
async function requestsIn(time: number, spread: number): Promise<number> {
  const pause = createFailurePause(spread);
  const stopped = new AbortController();
  let requests = 0;
  const run = async (): Promise<void> => {
    while (!stopped.signal.aborted) {
      requests += 1;
      await pause.wait(requests, stopped.signal);
    }
  };
  void run();
  await vi.advanceTimersByTimeAsync(time);
  stopped.abort();
  return requests;
}

// The store is unavailable for 8 s. With fixed pauses, each of 80 processes
// requested members 20 times, and each of 43 entries quarantined requests as
// often.
test('an unavailable store is queried for members five times in 8 s', async () => {
  expect(await requestsIn(8_000, 0)).toBe(5);
  expect(await requestsIn(8_000, 0.99)).toBeLessThanOrEqual(6);
});

test('a pause ends once another request is answered, except for its first part', async () => {
  const pause = createFailurePause(0);
  let isOver = false;
  void pause.wait(6, signal).then(() => (isOver = true));
  pause.recordAnswer();
  await vi.advanceTimersByTimeAsync(399);
  pause.recordAnswer();
  expect(isOver).toBe(false);
  await vi.advanceTimersByTimeAsync(601);
  expect(isOver).toBe(false);
  pause.recordAnswer();
  await vi.advanceTimersByTimeAsync(0);
  expect(isOver).toBe(true);
});

test('a pause ends when its process stops', async () => {
  const stopped = new AbortController();
  let isOver = false;
  void createFailurePause(0)
    .wait(6, stopped.signal)
    .then(() => (isOver = true));
  stopped.abort();
  await vi.advanceTimersByTimeAsync(0);
  expect(isOver).toBe(true);
});
