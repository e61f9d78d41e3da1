import type {SwarmState} from '../state';

/** Fraction of the slots that transfers keep while live requests are queued. */
const SHARE_WHILE_QUEUED = 0.5;

/**
 * Leaves slots to live requests: as the target's queue grows from empty to one
 * request per slot, transfers are reduced to a single slot.
 */
export function applyLiveLoad(
  state: SwarmState,
  queued: number,
  slots: number,
): void {
  if (queued === 0) {
    state.slotShare = 1;
    return;
  }
  const fullness = Math.min(1, queued / Math.max(1, slots));
  state.slotShare = SHARE_WHILE_QUEUED * (1 - fullness);
}
