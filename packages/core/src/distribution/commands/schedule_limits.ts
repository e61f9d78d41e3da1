import type {Bytes, Digest} from '../../types';
import type {SwarmState} from '../state';

/** Whether a chunk is held, being stored or being downloaded. */
export function isHeldOrInFlight(state: SwarmState, digest: Digest): boolean {
  return (
    state.active.has(digest) ||
    state.storing.has(digest) ||
    state.held.has(digest)
  );
}

/**
 * Whether one more chunk fits the transfer buffer. A chunk larger than the
 * whole buffer is fetched alone, because it could never be fetched otherwise.
 */
export function fitsTransferBuffer(state: SwarmState, size: Bytes): boolean {
  let used = 0;
  for (const transfer of state.transfers.values()) used += transfer.size;
  for (const stored of state.storing.values()) used += stored;
  return used === 0 || used + size <= state.options.transferBuffer;
}
