import {expect} from 'vitest';
import {callOnce, generate} from './callers';

/**
 * Creates a check that no process has crashed: the entry at `url()` answers the
 * first attempt of a valid request of each kind.
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
