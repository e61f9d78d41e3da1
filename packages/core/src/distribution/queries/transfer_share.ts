import type {SwarmState} from '../state';

/** Default fraction of a link that transfers leave to live requests. */
const DEFAULT_HEADROOM = 0.1;

/** Fraction that transfers keep regardless of the target's queue length. */
const MIN_TRANSFER_SHARE = 0.1;

/**
 * Fraction of each link's bandwidth that transfers may use now, from 0 to 1.
 */
export function transferShare(state: SwarmState): number {
  const headroom = state.options.headroom ?? DEFAULT_HEADROOM;
  return Math.max(MIN_TRANSFER_SHARE, (1 - headroom) * state.slotShare);
}
