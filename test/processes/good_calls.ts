import {expect} from 'vitest';
import {callOnce, generate} from './callers';

/**
 * Creates a check that nobody has died: a good request of each kind is answered
 * by the entry at `url()` at its first try.
 */
export function createGoodCallsCheck(url: () => string): () => Promise<void> {
  let calls = 0;
  return async () => {
    calls += 1;
    const answer = await generate(url(), {prompt: `good ${calls}`});
    expect(answer.outcome).toBe('whole');
    const reference = `good-${calls}`;
    const charged = await callOnce(url(), {reference, key: reference});
    expect(charged.outcome).toBe('answered');
  };
}
