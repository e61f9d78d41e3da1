import type {MonotonicInstant} from '../../types';
import type {HeldLease, LeaseCheck} from '../types';

/** Whether the holder may act at `now`. */
export function checkLease(
  held: HeldLease | undefined,
  now: MonotonicInstant,
): LeaseCheck {
  if (held === undefined) return {kind: 'mustNotAct', reason: 'notHeld'};
  // A holder that was paused past its lease must not act, or two holders would
  // give orders. The comparison does not depend on a timer having fired.
  if (now >= held.until) return {kind: 'mustNotAct', reason: 'ranOut'};
  const remaining = held.until - now;
  return {kind: 'mayAct', fencing: held.fencing, remaining};
}
