import type {EngineProfile} from '../routes';
import type {Milliseconds} from '../types';

const THOUSAND = 1_000;

/** An engine's current work, as far as it is known. */
export interface EngineWork {
  /** Requests that have a slot there. */
  readonly running: number;
  /** Requests that wait there for a slot. */
  readonly waiting: number;
  /** Time in which it reads the prompts that are still unread. */
  readonly unreadPrompts: Milliseconds;
  /** Time until it is to load a version; undefined if it isn't. */
  readonly loadsIn: Milliseconds | undefined;
  /** Factor by which its passes take longer than in its profile. */
  readonly pace: number;
}

/** A request whose first event is forecast. */
export interface ForecastRequest {
  /** Time in which an idle engine reads its prompt. */
  readonly promptTime: Milliseconds;
  /** Expected run time, once begun. */
  readonly expectedRun: Milliseconds;
  /** Expected number of tokens at its end. */
  readonly expectedTokens: number;
}

/** Time of one token step for `writers` requests with `tokens` each. */
export function stepTimeOf(
  profile: EngineProfile,
  writers: number,
  tokens: number,
): Milliseconds {
  const context = (tokens / THOUSAND) * profile.stepTimePerThousandTokens;
  return profile.stepTime + writers * (profile.stepTimePerRequest + context);
}

/** Time of a pass: the steps between two checks for waiting work. */
export function passTimeOf(
  profile: EngineProfile,
  writers: number,
  tokens: number,
): Milliseconds {
  const steps = Math.max(1, profile.stride);
  return steps * stepTimeOf(profile, writers, tokens);
}

/**
 * Returns the time until the first event of a request that is sent to an engine
 * now: half a pass until the engine checks for waiting work, the wait for a
 * slot, a step for each chunk of the unread prompts and its own, and one pass
 * of generation.
 */
export function forecastFirstEvent(
  profile: EngineProfile,
  work: EngineWork,
  request: ForecastRequest,
): Milliseconds {
  const writers = Math.min(work.running, profile.slots - 1);
  const {promptTime, expectedTokens} = request;
  const step = stepTimeOf(profile, writers, expectedTokens);
  const pass = passTimeOf(profile, writers, expectedTokens);
  const untilCheck = writers > 0 ? pass / 2 : 0;
  const readTime = work.unreadPrompts + promptTime;
  const stepsBetween = writers > 0 ? chunksOf(profile, readTime) * step : 0;
  const generation = passTimeOf(profile, writers + 1, expectedTokens);
  const wait = waitForSlot(profile, work, request);
  const busy =
    (wait + untilCheck + readTime + stepsBetween + generation) * work.pace;
  return busy + waitForLoad(profile, work, wait * work.pace);
}

/** Returns the token steps in which prompts with this read time are read. */
function chunksOf(profile: EngineProfile, readTime: Milliseconds): number {
  if (profile.prefillRate <= 0 || profile.prefillChunk <= 0) return 0;
  const chunk = (profile.prefillChunk * THOUSAND) / profile.prefillRate;
  return Math.ceil(readTime / chunk);
}

/** Each slot becomes free once per run time. */
function waitForSlot(
  {slots}: EngineProfile,
  {running, waiting}: EngineWork,
  {expectedRun}: ForecastRequest,
): Milliseconds {
  const ahead = Math.max(0, running + waiting + 1 - slots);
  return (ahead * expectedRun) / Math.max(1, slots);
}

/**
 * An engine that is to load weights starts nothing from then until it is done.
 */
function waitForLoad(
  profile: EngineProfile,
  {loadsIn}: EngineWork,
  startsIn: Milliseconds,
): Milliseconds {
  if (loadsIn === undefined || startsIn < loadsIn) return 0;
  return profile.loadTime;
}
