import {
  evaluateReading,
  type Confirmation,
  type Milliseconds,
  type MonotonicInstant,
  type ReadingUse,
  type StoreAvailability,
} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';

/** Share of the bound of configurations that may pass; the rest is for clocks. */
const MAX_CONFIGURATION_AGE_SHARE = 0.95;

/**
 * Share of the bound of evacuations that may pass; the rest is a request's way.
 */
const MAX_EVACUATIONS_AGE_SHARE = 0.9;

/** Bound of evacuations where the settings name none. */
export const DEFAULT_EVACUATION_BOUND: Milliseconds = 5_000;

/** Share of the draining bound that may pass; the rest is a request's way. */
const MAX_TARGETS_AGE_SHARE = 0.9;

/** What judging the held readings needs. */
export interface HeldReadingsOptions {
  readonly confirmation: Confirmation;
  /** When the list of targets was surely as it is held. */
  readonly listedAt: () => MonotonicInstant | undefined;
  /** When the evacuations were surely as they are held. */
  readonly evacuationsReadAt: () => MonotonicInstant | undefined;
  readonly storeContact: StoreAvailability;
  /** Counts suspensions of the machine. */
  readonly machineClock: Clock;
  readonly bounds: {
    readonly configuration: Milliseconds;
    readonly draining: Milliseconds;
    readonly evacuation: Milliseconds;
  };
}

/** What the held readings of the store are good for now. */
export interface HeldReadings {
  readonly configuration: () => ReadingUse;
  readonly targets: () => ReadingUse;
  readonly evacuations: () => ReadingUse;
}

/** Creates the judge of what an entry holds. */
export function createHeldReadings(options: HeldReadingsOptions): HeldReadings {
  const {confirmation, storeContact, machineClock, bounds} = options;

  function evaluate(
    bound: Milliseconds,
    readAt: MonotonicInstant = -Infinity,
  ): ReadingUse {
    return evaluateReading({
      age: machineClock() - readAt,
      bound,
      isStoreUnavailable: storeContact.isUnavailableSince(readAt),
    });
  }

  return {
    configuration: () =>
      evaluate(
        bounds.configuration * MAX_CONFIGURATION_AGE_SHARE,
        confirmation.confirmedAt(),
      ),
    evacuations: () =>
      evaluate(
        bounds.evacuation * MAX_EVACUATIONS_AGE_SHARE,
        options.evacuationsReadAt(),
      ),
    targets: () =>
      evaluate(bounds.draining * MAX_TARGETS_AGE_SHARE, options.listedAt()),
  };
}
