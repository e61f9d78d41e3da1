import type {PriorityDemand} from './site_demand';

/** What is admitted of each priority in any case, as a share. */
const FLOOR = 0.25;

/**
 * What the floor is a share of: each priority's demand, or the part of the whole
 * demand that the capacity can serve. The second still serves no priority less
 * than a quarter as often as all, and leaves more to urgent ones from twice the
 * capacity on.
 */
export type FloorBase = 'demand' | 'served';

/** Part of a priority's demand that is admitted. */
export interface PriorityShare {
  readonly priority: number;
  /** 0 to 1. */
  readonly share: number;
}

/** Who is admitted to a service. */
export interface AdmissionLevel {
  /** Most urgent first. */
  readonly shares: readonly PriorityShare[];
  /** Places that are asked for. */
  readonly demand: number;
  /** Places that are to be filled. */
  readonly capacity: number;
}

/**
 * The level at which demand fills `capacity`: priorities in full from the most
 * urgent on, the first that does not fit by a share, those below by the floor.
 */
export function admissionLevel(
  demandByPriority: PriorityDemand,
  capacity: number,
  floorBase: FloorBase = 'demand',
): AdmissionLevel {
  const asked = [...demandByPriority]
    .filter(([, places]) => places > 0)
    .sort(([one], [other]) => one - other);
  const demand = asked.reduce((sum, [, places]) => sum + places, 0);
  const served = demand > 0 ? Math.min(1, capacity / demand) : 1;
  const floor = floorOf(floorBase, served);
  let left = capacity - floor * demand;
  const shares = asked.map(([priority, places]) => {
    const beyondFloor = Math.min(places * (1 - floor), left);
    left -= beyondFloor;
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

/** The share of a priority, also of one that nobody has asked for lately. */
export function shareAt({shares}: AdmissionLevel, priority: number): number {
  const reached = shares.filter(known => known.priority <= priority);
  return reached.at(-1)?.share ?? 1;
}
