import type {Milliseconds, MonotonicInstant} from '../types';

/** Memory of what a workspace asks for; decays with this constant. */
const DECAY_TIME: Milliseconds = 2_000;

/** Time after which a workspace that asks for nothing is forgotten. */
const MAX_IDLE_TIME: Milliseconds = 30_000;

/**
 * Requests by which the admissions of all workspaces together may differ from
 * their share. Parts that are worked out from few requests are too small in the
 * mean: without this bound 0.08 of the capacity stood empty at 43 entries.
 */
const MAX_ADMISSION_DEBT = 1;

/** A request of one priority. */
export interface WorkspaceRequest {
  readonly workspace: string;
  readonly slotTime: Milliseconds;
}

/** Admits requests of one priority by the equal parts of their workspaces. */
export interface WorkspaceAdmission {
  /**
   * Notes a request; returns whether it is admitted when `share` of the whole
   * demand is.
   */
  readonly admits: (
    request: WorkspaceRequest,
    share: number,
    now: MonotonicInstant,
  ) => boolean;
}

interface Asked {
  placeTime: Milliseconds;
  at: MonotonicInstant;
  /** Admissions that it has to its credit. */
  credit: number;
}

/**
 * Creates the parts. `firstCredit` spreads the first credits of workspaces over
 * 0 to 1: an entry that sees few requests of each would otherwise refuse the
 * first of all of them.
 */
export function createWorkspaceAdmission(
  firstCredit: (workspace: string) => number,
): WorkspaceAdmission {
  const asked = new Map<string, Asked>();
  /** Admissions that all workspaces together have to their credit. */
  let owed = 0;

  function remembered({placeTime, at}: Asked, now: MonotonicInstant): number {
    return placeTime * Math.exp((at - now) / DECAY_TIME);
  }

  /** The largest part that any workspace gets if `share` of all is admitted. */
  function largestPart(share: number, now: MonotonicInstant): Milliseconds {
    const amounts = [...asked.values()]
      .map(known => remembered(known, now))
      .sort((one, other) => one - other);
    let left = share * amounts.reduce((sum, amount) => sum + amount, 0);
    for (const [index, amount] of amounts.entries()) {
      const equal = left / (amounts.length - index);
      if (amount > equal) return equal;
      left -= amount;
    }
    return Infinity;
  }

  function forgetOld(now: MonotonicInstant): void {
    for (const [workspace, {at}] of asked) {
      if (now - at > MAX_IDLE_TIME) asked.delete(workspace);
    }
  }

  /** A workspace that is known is not measured by the request that asks. */
  function partAndNote(
    request: WorkspaceRequest,
    share: number,
    now: MonotonicInstant,
  ): {readonly part: number; readonly known: Asked} {
    const before = asked.get(request.workspace);
    const part = before && partOf(before, share, now);
    const known = note(request, now);
    return {part: part ?? partOf(known, share, now), known};
  }

  function partOf(known: Asked, share: number, now: MonotonicInstant): number {
    return Math.min(1, largestPart(share, now) / remembered(known, now));
  }

  function note(
    {workspace, slotTime: placeTime}: WorkspaceRequest,
    now: MonotonicInstant,
  ): Asked {
    const known = asked.get(workspace);
    if (known !== undefined) {
      known.placeTime = remembered(known, now) + placeTime;
      known.at = now;
      return known;
    }
    forgetOld(now);
    const credit = firstCredit(workspace);
    const created = {placeTime, at: now, credit};
    asked.set(workspace, created);
    return created;
  }

  return {
    admits: (request, share, now) => {
      if (share >= 1) {
        note(request, now);
        return true;
      }
      const {part, known} = partAndNote(request, share, now);
      known.credit += part;
      owed += share;
      const isItsTurn = known.credit >= 1 && owed > -MAX_ADMISSION_DEBT;
      if (!isItsTurn && owed < 1 + MAX_ADMISSION_DEBT) return false;
      known.credit = Math.max(0, known.credit - 1);
      owed -= 1;
      return true;
    },
  };
}
