import type {Milliseconds} from '../types';

/**
 * Least time that a stream must have left to be moved. Its prompt is read again
 * elsewhere, some 50 ms of an engine, and its caller sees a pause of 150 to
 * 250 ms; one that ends sooner keeps its engine from loading for no longer.
 */
const MIN_REMAINING_TIME: Milliseconds = 300;

/**
 * Whether a stream at an engine that is to load weights goes on elsewhere.
 *
 * Failure: a load waits for the longest stream, 2 to 2.3 s, in which the slots
 * of the others stand idle and requests are refused for want of places.
 */
export function isWorthMoving(remaining: Milliseconds): boolean {
  return remaining >= MIN_REMAINING_TIME;
}
