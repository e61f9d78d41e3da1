import {getEventListeners} from 'node:events';
import {expect, test} from 'vitest';
import {sleep} from '../../packages/daemon/src/runtime/clock';

// Without the removal, each sleep of a loop leaves a listener on the signal
// that stops the loop, and a process that runs for weeks grows until it is
// killed.
test('a sleep leaves no listener on its signal', async () => {
  const stopping = new AbortController();
  for (let pause = 0; pause < 5; pause++) await sleep(1, stopping.signal);
  expect(getEventListeners(stopping.signal, 'abort')).toHaveLength(0);
});

test('a sleep ends at once when its signal aborts, also before it starts', async () => {
  const stopping = new AbortController();
  const pause = sleep(1_000_000, stopping.signal);
  stopping.abort();
  await pause;
  await sleep(1_000_000, stopping.signal);
  expect(stopping.signal.aborted).toBe(true);
});
