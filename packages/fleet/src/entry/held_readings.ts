import {
  evaluateReading,
  type Confirmation,
  type Milliseconds,
  type MonotonicInstant,
  type ReadingUse,
  type StoreAvailability,
} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';

/**
 * Share of the configuration bound that a reading may be old; the rest covers
 * clocks that run apart.
 */
const MAX_CONFIGURATION_AGE_SHARE = 0.95;

/**
 * Share of the evacuation bound that a reading may be old; the rest covers the
 * request's way to the target.
 */
const MAX_EVACUATIONS_AGE_SHARE = 0.9;

/** Evacuation bound if the settings contain none. */
export const DEFAULT_EVACUATION_BOUND: Milliseconds = 5_000;

/**
 * Share of the draining bound that a reading may be old; the rest covers the
 * request's way to the target.
 */
const MAX_TARGETS_AGE_SHARE = 0.9;

/** Dependencies of the held readings. */
export interface HeldReadingsOptions {
  readonly confirmation: Confirmation;
  /**
   * Latest time at which the list of targets is known to have been as it is
   * held.
   */
  readonly listedAt: () => MonotonicInstant | undefined;
  /**
   * Latest time at which the evacuations are known to have been as they are
   * held.
   */
  readonly evacuationsReadAt: () => MonotonicInstant | undefined;
  readonly storeAvailability: StoreAvailability;
  /** Clock that also counts while the machine is suspended. */
  readonly machineClock: Clock;
  readonly bounds: {
    readonly configuration: Milliseconds;
    readonly draining: Milliseconds;
    readonly evacuation: Milliseconds;
  };
}

/** Whether the data read from the store may still be used. */
export interface HeldReadings {
  readonly configuration: () => ReadingUse;
  readonly targets: () => ReadingUse;
  readonly evacuations: () => ReadingUse;
}

/** Creates the evaluation of the readings that an entry holds. */
export function createHeldReadings(options: HeldReadingsOptions): HeldReadings {
  const {confirmation, storeAvailability, machineClock, bounds} = options;

  function evaluate(
    bound: Milliseconds,
    readAt: MonotonicInstant = -Infinity,
  ): ReadingUse {
    return evaluateReading({
      age: machineClock() - readAt,
      bound,
      isStoreUnavailable: storeAvailability.isUnavailableSince(readAt),
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
