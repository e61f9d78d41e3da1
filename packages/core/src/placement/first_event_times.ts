import type {Milliseconds, ServiceName} from '../types';

/** Time from getting a slot at a target to the first event of the response. */
export interface FirstEventTimes {
  /** Records a time; `own` is the part that the request's own prompt took. */
  readonly record: (
    service: ServiceName,
    time: Milliseconds,
    own: Milliseconds,
  ) => void;
  /** Returns the expected time, or undefined before the first record. */
  readonly expected: (
    service: ServiceName,
    own: Milliseconds,
  ) => Milliseconds | undefined;
}

/**
 * Weight of a sample in the means. At full load an entry sees some twelve
 * responses per second, so the means follow within a second.
 */
const WEIGHT = 0.1;

/**
 * Mean deviations above the mean that are allowed for; covers about two in
 * three responses.
 */
const DEVIATIONS = 0.5;

interface Estimate {
  readonly mean: Milliseconds;
  readonly deviation: Milliseconds;
}

/**
 * Learns how long the targets of each service take to send a first event.
 *
 * Without this, a fixed value of 130 ms is assumed where an engine under load
 * takes 300 ms: a request that waits for a slot until 130 ms before its
 * objective is late, earns a quarter and takes the slot of one that would be on
 * time.
 *
 * Only the time beyond the request's own prompt is learned. The largest prompts
 * take four times as long to read as the mean; if they waited for a slot as
 * long as the others, they would be late.
 */
export function createFirstEventTimes(): FirstEventTimes {
  const services = new Map<ServiceName, Estimate>();

  function record(
    service: ServiceName,
    total: Milliseconds,
    own: Milliseconds,
  ): void {
    const known = services.get(service);
    const time = Math.max(0, total - own);
    services.set(
      service,
      known === undefined
        ? {mean: time, deviation: time / 2}
        : updateEstimate(known, time),
    );
  }

  return {
    record,
    expected: (service, own) => {
      const estimate = services.get(service);
      return estimate && estimate.mean + DEVIATIONS * estimate.deviation + own;
    },
  };
}

function updateEstimate(
  {mean, deviation}: Estimate,
  time: Milliseconds,
): Estimate {
  const distance = Math.abs(time - mean);
  return {
    mean: mean + WEIGHT * (time - mean),
    deviation: deviation + WEIGHT * (distance - deviation),
  };
}
