import type {PriorityDemand} from './site_demand';

/** Min share of each priority that is admitted; see {@link FloorBase}. */
const FLOOR = 0.25;

/**
 * What the floor is a share of: each priority's demand, or the part of the
 * whole demand that the capacity can serve. The second one still serves each
 * priority at least a quarter as often as the average, and leaves more to
 * urgent ones when the demand is twice the capacity or more.
 */
export type FloorBase = 'demand' | 'served';

/** Share of a priority's demand that is admitted. */
export interface PriorityShare {
  readonly priority: number;
  /** 0 to 1. */
  readonly share: number;
}

/** Shares of a service's demand that are admitted. */
export interface AdmissionLevel {
  /** Most urgent first. */
  readonly shares: readonly PriorityShare[];
  /** Slots that are requested. */
  readonly demand: number;
  /** Slots that are to be filled. */
  readonly capacity: number;
}

/**
 * Returns the level at which demand fills `capacity`. Priorities are admitted
 * completely, the most urgent one first; the first that doesn't fit is admitted
 * in part, and those below it only up to the floor.
 */
export function admissionLevel(
  demandByPriority: PriorityDemand,
  capacity: number,
  floorBase: FloorBase = 'demand',
): AdmissionLevel {
  const requested = [...demandByPriority]
    .filter(([, slots]) => slots > 0)
    .sort(([one], [other]) => one - other);
  const demand = requested.reduce((sum, [, slots]) => sum + slots, 0);
  const served = demand > 0 ? Math.min(1, capacity / demand) : 1;
  const floor = floorOf(floorBase, served);
  let remaining = capacity - floor * demand;
  const shares = requested.map(([priority, slots]) => {
    const beyondFloor = Math.min(slots * (1 - floor), remaining);
    remaining -= beyondFloor;
    return {priority, share: Math.min(1, floor + beyondFloor / slots)};
  });
  return {shares, demand, capacity};
}

function floorOf(base: FloorBase, served: number): number {
  switch (base) {
    case 'demand':
      return Math.min(FLOOR, served);
    case 'served':
      return FLOOR * served;
  }
}

/**
 * Returns the share of a priority. One without recent demand has the share of
 * the next more urgent one with demand, or 1 if there is none.
 */
export function shareAt({shares}: AdmissionLevel, priority: number): number {
  const atLeastAsUrgent = shares.filter(known => known.priority <= priority);
  return atLeastAsUrgent.at(-1)?.share ?? 1;
}
