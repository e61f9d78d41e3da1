import {unreachable, type Milliseconds} from '@hibiscusbeam/core';
import {sleep, type Clock} from '@hibiscusbeam/daemon';

/** Phase of a planned stop. */
export type StoppingPhase = 'serving' | 'leaving' | 'closing';

/** Options of {@link createPlannedStop}. */
export interface PlannedStopOptions {
  /** Time from the stop signal until the platform kills the process. */
  readonly grace: Milliseconds;
  /** Clock that also counts while the machine is suspended. */
  readonly clock: Clock;
}

/** The course of a planned stop. */
export interface PlannedStop {
  readonly phase: () => StoppingPhase;
  /** Begins the stop; resolves when no new request is accepted any more. */
  readonly begin: () => Promise<void>;
  /**
   * Whether a request that arrives now may be forwarded, by the time until its
   * deadline.
   */
  readonly mayAccept: (timeLeft: Milliseconds) => boolean;
  /**
   * Resolves once no request runs, at the latest when those that still run have
   * to be answered.
   */
  readonly awaitRequests: (
    callers: Pick<StoppingCallers, 'isIdle'>,
  ) => Promise<void>;
  /**
   * Resolves once nothing runs or can still arrive on an open connection, at the
   * latest shortly before the grace period ends.
   */
  readonly awaitArriving: (callers: StoppingCallers) => Promise<void>;
}

/** What callers still have at a process that stops. */
export interface StoppingCallers {
  /** Whether no request runs. */
  readonly isIdle: () => boolean;
  readonly connections: () => number;
  /** Ends all requests that run; called when they have to be answered. */
  readonly endAll: () => void;
}

/**
 * Share of the grace period in which new requests are still served after a stop
 * signal; callers use old directory answers for that long.
 */
const SERVING_SHARE = 0.45;

/**
 * Share of the grace period after which requests that still run are answered.
 */
const FINAL_ANSWERS_SHARE = 0.9;

/** Share of the grace period after which the process ends at the latest. */
const ENDING_SHARE = 0.95;

/**
 * Maximum time until a request arrives on a connection that is already open.
 */
const IN_TRANSIT_TIME: Milliseconds = 500;

/** Interval between checks of the time and of running requests. */
const CHECK_PERIOD: Milliseconds = 50;

/**
 * Creates the course of a planned stop. What still runs at the final answers is
 * cut, so a request is accepted only if its deadline comes before them. How long
 * others took is no bound, and a caller that is refused at once can use another
 * entry.
 */
export function createPlannedStop(options: PlannedStopOptions): PlannedStop {
  const {grace, clock} = options;
  let phase: StoppingPhase = 'serving';
  let stoppingSince = Infinity;

  const isPast = (share: number): boolean =>
    clock() - stoppingSince >= grace * share;

  async function begin(): Promise<void> {
    phase = 'leaving';
    stoppingSince = clock();
    while (!isPast(SERVING_SHARE)) await sleep(CHECK_PERIOD);
    phase = 'closing';
  }

  function mayAccept(timeLeft: Milliseconds): boolean {
    switch (phase) {
      case 'serving':
        return true;
      case 'leaving': {
        const elapsed = clock() - stoppingSince;
        return timeLeft <= grace * FINAL_ANSWERS_SHARE - elapsed;
      }
      case 'closing':
        return false;
      default:
        return unreachable(phase);
    }
  }

  async function awaitRequests({
    isIdle,
  }: Pick<StoppingCallers, 'isIdle'>): Promise<void> {
    while (!isIdle() && !isPast(FINAL_ANSWERS_SHARE)) await sleep(CHECK_PERIOD);
  }

  async function awaitArriving(callers: StoppingCallers): Promise<void> {
    const since = clock();
    const hasArrived = (): boolean =>
      callers.connections() === 0 || clock() - since >= IN_TRANSIT_TIME;
    while (!(callers.isIdle() && hasArrived()) && !isPast(ENDING_SHARE)) {
      if (isPast(FINAL_ANSWERS_SHARE)) callers.endAll();
      await sleep(CHECK_PERIOD);
    }
  }

  return {phase: () => phase, begin, mayAccept, awaitRequests, awaitArriving};
}
