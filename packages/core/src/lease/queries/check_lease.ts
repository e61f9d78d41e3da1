import type {MonotonicInstant} from '../../types';
import type {HeldLease, LeaseCheck} from '../types';

/** Whether the holder may act at `now`. */
export function checkLease(
  held: HeldLease | undefined,
  now: MonotonicInstant,
): LeaseCheck {
  if (held === undefined) return {kind: 'mustNotAct', reason: 'notHeld'};
  // Guards against a holder that was paused past its lease: it would show as
  // orders from two holders. The check needs no timer to have run meanwhile.
  if (now >= held.until) return {kind: 'mustNotAct', reason: 'ranOut'};
  const remaining = held.until - now;
  return {kind: 'mayAct', fencing: held.fencing, remaining};
}
