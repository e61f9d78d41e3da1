import type {Milliseconds, MonotonicInstant, WorkspaceName} from '../types';

/** Memory of the place time that workspaces have used; decays with this constant. */
const DECAY_TIME: Milliseconds = 2_000;

/** Usage, in milliseconds of place time, below which a workspace is forgotten. */
const MIN_REMEMBERED_USE = 1;

/**
 * Time before the end of its objective from which a request goes before more
 * urgent ones that have more time left: one look of the queue and its delay. More
 * would take places from the most urgent kind.
 */
const URGENT_TIME: Milliseconds = 25;

/** What the order of waiting requests goes by. */
export interface WaitingRequest {
  /** Whether its caller already waits for the next event of a stream. */
  readonly isResumed: boolean;
  /** 0 goes first. */
  readonly priority: number;
  /** Until when a place still makes for an answer on time. */
  readonly onTimeUntil: MonotonicInstant;
  /** Whether its caller has asked before. */
  readonly isLaterAttempt: boolean;
  readonly workspace: WorkspaceName | undefined;
  /** How long it will hold its place. */
  readonly slotTime: Milliseconds;
}

/** Who of those that wait for a place gets the next one. */
export interface WaitingOrder<Request> {
  /** Below 0 if `one` goes first. */
  readonly compare: (
    one: Request,
    other: Request,
    now: MonotonicInstant,
  ) => number;
  /** Notes that a request has got a place. */
  readonly recordStart: (request: Request, now: MonotonicInstant) => void;
}

/**
 * Streams that go on come first, since their callers count each pause; then
 * requests that can still be answered on time, by priority.
 *
 * Failure: with admission by level, requests of the floor that were admitted
 * wait behind all urgent ones until they are refused. Guard: one whose time runs
 * out goes before more urgent ones that have time.
 *
 * First attempts go before later ones; workspaces take turns by the place time
 * that they have used lately; then the one with the least time left goes first.
 */
export function createFairOrder(): WaitingOrder<WaitingRequest> {
  const used = new Map<string, {time: Milliseconds; at: MonotonicInstant}>();

  function usedBy(
    workspace: WorkspaceName | undefined,
    now: MonotonicInstant,
  ): Milliseconds {
    const known = used.get(workspace ?? '');
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
      for (const [name, {time, at}] of used) {
        if (time * Math.exp((at - now) / DECAY_TIME) < MIN_REMEMBERED_USE) {
          used.delete(name);
        }
      }
      const time = usedBy(workspace, now) + slotTime;
      used.set(workspace ?? '', {time, at: now});
    },
  };
}
