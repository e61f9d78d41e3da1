import type {Milliseconds, MonotonicInstant, WorkspaceName} from '../types';

/** Decay time of the slot time that workspaces have used. */
const DECAY_TIME: Milliseconds = 2_000;

/** Use, in milliseconds of slot time, below which a workspace is forgotten. */
const MIN_REMEMBERED_USE = 1;

/**
 * Time before the end of its objective from which a request goes before more
 * urgent ones with more time left: one check of the queue and its delay. A
 * longer time would take slots from the most urgent priority.
 */
const URGENT_TIME: Milliseconds = 25;

/** Properties by which waiting requests are ordered. */
export interface WaitingRequest {
  /** Whether its caller already waits for the next event of a stream. */
  readonly isResumed: boolean;
  /** 0 goes first. */
  readonly priority: number;
  /** Until when a slot still allows a response in time. */
  readonly onTimeUntil: MonotonicInstant;
  /** Whether its caller retries. */
  readonly isLaterAttempt: boolean;
  readonly workspace: WorkspaceName | undefined;
  /** How long it will hold its slot. */
  readonly slotTime: Milliseconds;
}

/** Order in which waiting requests get slots. */
export interface WaitingOrder<Request> {
  /** Negative if `one` goes first. */
  readonly compare: (
    one: Request,
    other: Request,
    now: MonotonicInstant,
  ) => number;
  /** Records that a request got a slot. */
  readonly recordStart: (request: Request, now: MonotonicInstant) => void;
}

/**
 * Orders waiting requests.
 *
 * Resumed streams come first, since their callers notice each pause; then
 * requests that can still be answered in time, by priority. A request whose
 * time runs out goes before more urgent ones that have time. Without this, with
 * admission by level, admitted requests of the floor wait behind all urgent
 * ones until they are refused.
 *
 * First attempts go before retries; workspaces take turns by their recently
 * used slot time; then the request with the least time left goes first.
 */
export function createFairOrder(): WaitingOrder<WaitingRequest> {
  const usage = new Map<string, {time: Milliseconds; at: MonotonicInstant}>();

  function usedBy(
    workspace: WorkspaceName | undefined,
    now: MonotonicInstant,
  ): Milliseconds {
    const known = usage.get(workspace ?? '');
    if (known === undefined) return 0;
    return known.time * Math.exp((known.at - now) / DECAY_TIME);
  }

  function isUrgent(
    {onTimeUntil}: WaitingRequest,
    now: MonotonicInstant,
  ): boolean {
    return onTimeUntil >= now && onTimeUntil - now < URGENT_TIME;
  }

  return {
    compare: (one, other, now) =>
      Number(other.isResumed) - Number(one.isResumed) ||
      Number(one.onTimeUntil < now) - Number(other.onTimeUntil < now) ||
      Number(isUrgent(other, now)) - Number(isUrgent(one, now)) ||
      one.priority - other.priority ||
      Number(one.isLaterAttempt) - Number(other.isLaterAttempt) ||
      usedBy(one.workspace, now) - usedBy(other.workspace, now) ||
      one.onTimeUntil - other.onTimeUntil,
    recordStart: ({workspace, slotTime}, now) => {
      for (const [name, {time, at}] of usage) {
        if (time * Math.exp((at - now) / DECAY_TIME) < MIN_REMEMBERED_USE) {
          usage.delete(name);
        }
      }
      const time = usedBy(workspace, now) + slotTime;
      usage.set(workspace ?? '', {time, at: now});
    },
  };
}
