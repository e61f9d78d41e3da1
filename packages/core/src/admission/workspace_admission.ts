import type {Milliseconds, MonotonicInstant} from '../types';

/** Decay time of a workspace's requested slot time. */
const DECAY_TIME: Milliseconds = 2_000;

/** Time after which a workspace without requests is forgotten. */
const MAX_IDLE_TIME: Milliseconds = 30_000;

/**
 * Number of requests by which the admissions of all workspaces together may
 * differ from their share. Shares computed from few requests are too small on
 * average: without this bound 0.08 of the capacity was unused with 43 entries.
 */
const MAX_ADMISSION_DEBT = 1;

/** A request of one priority. */
export interface WorkspaceRequest {
  readonly workspace: string;
  readonly slotTime: Milliseconds;
}

/** Admits requests of one priority by equal shares of their workspaces. */
export interface WorkspaceAdmission {
  /**
   * Records a request; returns whether it is admitted if `share` of the whole
   * demand is.
   */
  readonly admits: (
    request: WorkspaceRequest,
    share: number,
    now: MonotonicInstant,
  ) => boolean;
}

interface RequestedTime {
  slotTime: Milliseconds;
  at: MonotonicInstant;
  /** Admissions that the workspace has earned and not used. */
  credit: number;
}

/**
 * Creates the admission. `firstCredit` spreads the initial credits of
 * workspaces over 0 to 1: an entry that sees few requests of each workspace
 * would otherwise refuse the first one of all of them.
 */
export function createWorkspaceAdmission(
  firstCredit: (workspace: string) => number,
): WorkspaceAdmission {
  const requestedTimes = new Map<string, RequestedTime>();
  /** Admissions that all workspaces together have earned and not used. */
  let totalCredit = 0;

  function decayedTime(
    {slotTime, at}: RequestedTime,
    now: MonotonicInstant,
  ): number {
    return slotTime * Math.exp((at - now) / DECAY_TIME);
  }

  /**
   * Returns the largest slot time that a workspace gets if `share` of all is
   * admitted.
   */
  function maxShareTime(share: number, now: MonotonicInstant): Milliseconds {
    const amounts = [...requestedTimes.values()]
      .map(known => decayedTime(known, now))
      .sort((one, other) => one - other);
    let remaining = share * amounts.reduce((sum, amount) => sum + amount, 0);
    for (const [index, amount] of amounts.entries()) {
      const equal = remaining / (amounts.length - index);
      if (amount > equal) return equal;
      remaining -= amount;
    }
    return Infinity;
  }

  function forgetOld(now: MonotonicInstant): void {
    for (const [workspace, {at}] of requestedTimes) {
      if (now - at > MAX_IDLE_TIME) requestedTimes.delete(workspace);
    }
  }

  /**
   * Evaluates a known workspace by its previous requests only, not by this one.
   */
  function evaluateAndRecord(
    request: WorkspaceRequest,
    share: number,
    now: MonotonicInstant,
  ): {readonly part: number; readonly known: RequestedTime} {
    const before = requestedTimes.get(request.workspace);
    const part = before && shareOf(before, share, now);
    const known = recordRequest(request, now);
    return {
      part: part ?? shareOf(known, share, now),
      known,
    };
  }

  function shareOf(
    known: RequestedTime,
    share: number,
    now: MonotonicInstant,
  ): number {
    return Math.min(1, maxShareTime(share, now) / decayedTime(known, now));
  }

  function recordRequest(
    {workspace, slotTime}: WorkspaceRequest,
    now: MonotonicInstant,
  ): RequestedTime {
    const known = requestedTimes.get(workspace);
    if (known !== undefined) {
      known.slotTime = decayedTime(known, now) + slotTime;
      known.at = now;
      return known;
    }
    forgetOld(now);
    const credit = firstCredit(workspace);
    const created = {slotTime, at: now, credit};
    requestedTimes.set(workspace, created);
    return created;
  }

  return {
    admits: (request, share, now) => {
      if (share >= 1) {
        recordRequest(request, now);
        return true;
      }
      const {part, known} = evaluateAndRecord(request, share, now);
      known.credit += part;
      totalCredit += share;
      const isItsTurn = known.credit >= 1 && totalCredit > -MAX_ADMISSION_DEBT;
      if (!isItsTurn && totalCredit < 1 + MAX_ADMISSION_DEBT) return false;
      known.credit = Math.max(0, known.credit - 1);
      totalCredit -= 1;
      return true;
    },
  };
}
