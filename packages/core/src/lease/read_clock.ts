import type {Flow} from '../kernel/flow';
import type {MonotonicInstant} from '../types';
import type {ClockReply, ReadClockEffect} from './types';

/** Replies to the other effects of flows that read the clock. */
interface OtherReply {
  readonly kind: 'row' | 'commit' | 'order' | 'report';
}

/** Reads the driver's monotonic clock. */
export function* readClock(): Flow<
  ReadClockEffect,
  ClockReply | OtherReply,
  MonotonicInstant
> {
  const reply = yield {kind: 'readClock'};
  if (reply.kind === 'clock') return reply.now;
  throw new Error(`driver replied with ${reply.kind}, not clock`);
}
