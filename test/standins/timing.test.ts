import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createPacer} from '../../packages/standins/src/platform/pacer';
import {createLaggedView} from '../../packages/standins/src/shared/lagged_view';
import {createRateLimit} from '../../packages/standins/src/shared/rate_limit';
import {propertySettings} from '../fixtures/property_settings';
import {createManualClock} from './manual_clock';

describe('pacer', () => {
  it('sends no more than the rate however many transfers share it', async () => {
    const amounts = fc.array(fc.integer({min: 1, max: 5_000}), {minLength: 1});
    await fc.assert(
      fc.asyncProperty(fc.array(amounts, {minLength: 1}), async transfers => {
        const clock = createManualClock();
        const pacer = createPacer(clock, 1_000);
        let sent = 0;
        const running = transfers.map(async transfer => {
          for (const amount of transfer) {
            await pacer.take(amount);
            sent += amount;
            // One byte per millisecond, plus a burst of 20 ms.
            expect(sent).toBeLessThanOrEqual(clock.now() + 20 + 1e-6);
          }
        });
        const total = transfers.flat().reduce((sum, next) => sum + next, 0);
        await clock.advance(total + 1);
        await Promise.all(running);
        expect(sent).toBe(total);
      }),
      propertySettings(50),
    );
  });

  it('does not delay senders without a rate', async () => {
    const pacer = createPacer(createManualClock(), null);
    await pacer.take(1e12);
  });
});

describe('rate limit', () => {
  it('admits one second of calls at once, then returns the time to wait', async () => {
    const clock = createManualClock();
    const limit = createRateLimit(clock, 10);
    const taken = Array.from({length: 10}, limit.take);
    expect(taken).toEqual(Array(10).fill(0));
    expect(limit.take()).toBe(100);
    await clock.advance(100);
    expect(limit.take()).toBe(0);
    expect(limit.take()).toBeGreaterThan(0);
  });

  it('admits single calls at a rate below one per second', async () => {
    const clock = createManualClock();
    const limit = createRateLimit(clock, 0.5);
    await clock.advance(10_000);
    expect(limit.take()).toBe(0);
    expect(limit.take()).toBe(2_000);
  });
});

it('shows a value with its lag', async () => {
  const clock = createManualClock();
  const view = createLaggedView(clock, 'first');
  view.setLag(50);
  await clock.advance(10);
  view.record('second');
  await clock.advance(20);
  view.record('third');
  expect(view.read()).toEqual({value: 'first', age: 30});
  await clock.advance(30);
  expect(view.read()).toEqual({value: 'second', age: 50});
  await clock.advance(20);
  expect(view.read()).toEqual({value: 'third', age: 50});
});
