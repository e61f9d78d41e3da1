import type {Milliseconds} from '@hibiscusbeam/core';
import {sleep, type Clock} from '@hibiscusbeam/daemon';

/** Phase of a planned stop. */
export type StoppingPhase = 'serving' | 'leaving' | 'closing';

/** What the acceptance of a request by a stopping entry depends on. */
export interface StoppingRequest {
  /** Time until its deadline. */
  readonly timeLeft: Milliseconds;
  /** Longest duration of recent requests of its route, if any. */
  readonly longestRun: Milliseconds | undefined;
  /** Whether another entry can take it. */
  readonly hasAlternative: boolean;
}

/** Options of {@link createPlannedStop}. */
export interface PlannedStopOptions {
  /** Time from the stop signal until the platform kills the process. */
  readonly grace: Milliseconds;
  /**
   * Time after the signal during which callers still use the directory's
   * earlier answers.
   */
  readonly callersStayFor: Milliseconds;
  /** Clock that also counts while the machine is suspended. */
  readonly clock: Clock;
}

/** The course of a planned stop. */
export interface PlannedStop {
  readonly phase: () => StoppingPhase;
  /** Begins the stop; resolves when no new request is accepted any more. */
  readonly begin: () => Promise<void>;
  /** Whether a request that arrives now may be forwarded. */
  readonly mayAccept: (request: StoppingRequest) => boolean;
  /**
   * Resolves once `isIdle`, at the latest shortly before the grace period ends;
   * `endAll` is called when requests in progress have to end.
   */
  readonly finish: (isIdle: () => boolean, endAll: () => void) => Promise<void>;
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

/** Interval between checks of the time and of running requests. */
const CHECK_PERIOD: Milliseconds = 50;

/** How much longer than the longest recent request another one may take. */
const DURATION_MARGIN = 1.5;

/**
 * Creates the course of a planned stop. What still runs at the final answers is
 * cut, so a request is accepted only if it ends before them.
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

  function mayAccept(request: StoppingRequest): boolean {
    if (phase === 'serving') return true;
    if (phase === 'closing') return false;
    const elapsed = clock() - stoppingSince;
    const left = grace * FINAL_ANSWERS_SHARE - elapsed;
    if (request.timeLeft <= left) return true;
    // Callers that can't know better, or have no other entry, would lose more by
    // a refusal than by the small chance of a cut.
    if (request.hasAlternative && elapsed > options.callersStayFor) {
      return false;
    }
    return (request.longestRun ?? Infinity) * DURATION_MARGIN <= left;
  }

  async function finish(
    isIdle: () => boolean,
    endAll: () => void,
  ): Promise<void> {
    while (!isIdle() && !isPast(ENDING_SHARE)) {
      if (isPast(FINAL_ANSWERS_SHARE)) endAll();
      await sleep(CHECK_PERIOD);
    }
  }

  return {phase: () => phase, begin, mayAccept, finish};
}
