import type {PriorityDemand} from './site_demand';

/** Share of each priority that is admitted in any case. */
const FLOOR = 0.25;

/**
 * What the floor is a share of: each priority's demand, or the part of the
 * whole demand that the capacity can serve. The second one still serves each
 * priority at least a quarter as often as the average, and leaves more to
 * urgent ones from twice the capacity on.
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
 * Returns the level at which demand fills `capacity`: priorities are admitted
 * completely from the most urgent one on, the first that doesn't fit by a
 * share, and those below it by the floor.
 */
export function admissionLevel(
  demandByPriority: PriorityDemand,
  capacity: number,
  floorBase: FloorBase = 'demand',
): AdmissionLevel {
  const requested = [...demandByPriority]
    .filter(([, places]) => places > 0)
    .sort(([one], [other]) => one - other);
  const demand = requested.reduce((sum, [, places]) => sum + places, 0);
  const served = demand > 0 ? Math.min(1, capacity / demand) : 1;
  const floor = floorOf(floorBase, served);
  let remaining = capacity - floor * demand;
  const shares = requested.map(([priority, places]) => {
    const beyondFloor = Math.min(places * (1 - floor), remaining);
    remaining -= beyondFloor;
    return {priority, share: Math.min(1, floor + beyondFloor / places)};
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

/** Returns the share of a priority, also of one without recent demand. */
export function shareAt({shares}: AdmissionLevel, priority: number): number {
  const atLeastAsUrgent = shares.filter(known => known.priority <= priority);
  return atLeastAsUrgent.at(-1)?.share ?? 1;
}
