import type {Milliseconds, ServiceName} from '../types';

/** Time from a place at a target to the first part of its answer. */
export interface FirstEventTimes {
  /** `own` is the part of the time that the request's own prompt took. */
  readonly record: (
    service: ServiceName,
    time: Milliseconds,
    own: Milliseconds,
  ) => void;
  /** Time to allow for, or undefined before anything was seen. */
  readonly expected: (
    service: ServiceName,
    own: Milliseconds,
  ) => Milliseconds | undefined;
}

/**
 * Weight of one answer in the means. An entry sees some twelve answers a second
 * at full load, so the means follow within a second.
 */
const WEIGHT = 0.1;

/** Mean deviations above the mean that are allowed for; about two in three. */
const DEVIATIONS = 0.5;

interface Seen {
  readonly mean: Milliseconds;
  readonly deviation: Milliseconds;
}

/**
 * Learns how long the targets of each service take.
 *
 * Failure: under load an engine's first event takes 300 ms in place of 130. A
 * request that waits for a place until 130 ms before its objective is then
 * late, earns a quarter, and takes the place of one that would be on time.
 * Guard: what is allowed for follows what was seen.
 *
 * Failure: the largest prompts take four times as long to read as the mean, and
 * wait for a place as if they took no longer: they are late while others are
 * early. Guard: only what a request waits beside its own prompt is learned.
 */
export function createFirstEventTimes(): FirstEventTimes {
  const services = new Map<ServiceName, Seen>();

  function record(
    service: ServiceName,
    whole: Milliseconds,
    own: Milliseconds,
  ): void {
    const known = services.get(service);
    const time = Math.max(0, whole - own);
    services.set(
      service,
      known === undefined
        ? {mean: time, deviation: time / 2}
        : move(known, time),
    );
  }

  return {
    record,
    expected: (service, own) => {
      const seen = services.get(service);
      return seen && seen.mean + DEVIATIONS * seen.deviation + own;
    },
  };
}

function move({mean, deviation}: Seen, time: Milliseconds): Seen {
  const distance = Math.abs(time - mean);
  return {
    mean: mean + WEIGHT * (time - mean),
    deviation: deviation + WEIGHT * (distance - deviation),
  };
}
