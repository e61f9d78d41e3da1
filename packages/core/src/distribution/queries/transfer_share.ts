import type {SwarmState} from '../state';

/** Share of a link that transfers leave to live requests unless told otherwise. */
const DEFAULT_HEADROOM = 0.1;

/** Share that transfers keep however long the target's queue is. */
const MIN_TRANSFER_SHARE = 0.1;

/** Share of each link's rate that transfers may take now, from 0 to 1. */
export function transferShare(state: SwarmState): number {
  const headroom = state.options.headroom ?? DEFAULT_HEADROOM;
  return Math.max(MIN_TRANSFER_SHARE, (1 - headroom) * state.slotShare);
}
