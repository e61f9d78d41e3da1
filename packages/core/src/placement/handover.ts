import type {Milliseconds} from '../types';

/**
 * Minimum remaining time for a stream to be moved. Its prompt is read again
 * elsewhere, which takes an engine some 50 ms, and its caller sees a pause of
 * 150 to 250 ms. A stream that ends sooner delays the load by no more than
 * that.
 */
const MIN_REMAINING_TIME: Milliseconds = 300;

/**
 * Whether a stream at an engine that is to load weights should continue
 * elsewhere.
 *
 * Without this, a load waits 2 to 2.3 s for the longest stream while the other
 * slots are idle and requests are refused for lack of slots.
 */
export function isWorthMoving(remaining: Milliseconds): boolean {
  return remaining >= MIN_REMAINING_TIME;
}
