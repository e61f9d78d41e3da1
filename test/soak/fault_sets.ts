import {
  planBasicFaults,
  planEvacuations,
  planPowerLosses,
  planRestores,
  planSilences,
  planStatements,
  type PlannedFault,
  type SoakSize,
} from './plan';

/** The set of faults of a soak run. */
export type FaultSet =
  | 'basic'
  /** Also targets that announce leaving or ask to back off. */
  | 'statements'
  /** Also restores of the store from copies, and configuration changes. */
  | 'restores'
  /** Also healthy targets that fall silent and then resume. */
  | 'silences'
  /** Also evacuations of zones, and zones that return cold. */
  | 'evacuations'
  /** Only power losses, right after configuration changes. */
  | 'powerLosses'
  /** Also a part of prompts that crashes targets; some seeds lose power. */
  | 'promptParts';

/** Plans all faults of a seed, by time. */
export function planFaults(
  seed: number,
  size: SoakSize,
  faultSet: FaultSet,
): readonly PlannedFault[] {
  const basic = planBasicFaults(seed, size);
  const planned = [
    ...basic.filter(isKept),
    ...planAdditionalFaults(seed, size, faultSet),
  ];
  return planned.sort((one, other) => one.at - other.at);

  /** Other store faults would leave too little time to check a restore. */
  function isKept({fault}: PlannedFault): boolean {
    if (faultSet === 'powerLosses') return false;
    // No evacuation can be written while the store is unavailable.
    const hasOwnFaults = faultSet === 'restores' || faultSet === 'evacuations';
    return !hasOwnFaults || fault.kind !== 'store';
  }
}

/** Whether requests for the added route are sent. */
export function hasProbes(faultSet: FaultSet): boolean {
  return faultSet === 'restores' || faultSet === 'powerLosses';
}

function planAdditionalFaults(
  seed: number,
  size: SoakSize,
  faultSet: FaultSet,
): readonly PlannedFault[] {
  switch (faultSet) {
    case 'basic':
      return [];
    case 'statements':
      return planStatements(seed, size);
    case 'restores':
      return planRestores(seed, size);
    case 'silences':
      return planSilences(seed, size);
    case 'evacuations':
      return planEvacuations(seed, size);
    case 'powerLosses':
      return planPowerLosses(seed, size);
    case 'promptParts':
      return seed % 3 === 0 ? planPowerLosses(seed, size) : [];
  }
}
