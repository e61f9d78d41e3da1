import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createFailurePause} from '../../packages/fleet/src/link/failure_pause';

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const {signal} = new AbortController();

/** Questions in so much time to a store that answers none of them. */
async function requestsIn(time: number, spread: number): Promise<number> {
  const pause = createFailurePause(spread);
  const stopped = new AbortController();
  let asked = 0;
  const ask = async (): Promise<void> => {
    while (!stopped.signal.aborted) {
      asked += 1;
      await pause.wait(asked, stopped.signal);
    }
  };
  void ask();
  await vi.advanceTimersByTimeAsync(time);
  stopped.abort();
  return asked;
}

// The store is away for 8 s. Each of 80 processes asked it 20 times for members,
// and each of 43 entries as often for quarantined requests.
test('a store that is away is asked for members five times in 8 s', async () => {
  expect(await requestsIn(8_000, 0)).toBe(5);
  expect(await requestsIn(8_000, 0.99)).toBeLessThanOrEqual(6);
});

test('a pause ends once another question is answered, but for the first part', async () => {
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
