import type {EngineProfile} from '../routes';
import type {Milliseconds} from '../types';

const THOUSAND = 1_000;

/** What an engine has to do now, as far as is known. */
export interface EngineWork {
  /** Requests that have a place there. */
  readonly running: number;
  /** Requests that wait there for a place. */
  readonly waiting: number;
  /** Time in which it reads the prompts that it has not read yet. */
  readonly unreadPrompts: Milliseconds;
  /** Time until it is to load a version; undefined if it is not. */
  readonly loadsIn: Milliseconds | undefined;
  /** Times that its passes take longer than its profile says. */
  readonly pace: number;
}

/** A request whose first event is forecast. */
export interface ForecastRequest {
  /** Time in which an idle engine reads its prompt. */
  readonly promptTime: Milliseconds;
  /** How long it will probably run, once begun. */
  readonly expectedRun: Milliseconds;
  /** Tokens that it will probably hold at its end. */
  readonly expectedTokens: number;
}

/** Time of one token step for `writers` requests that hold `tokens` each. */
export function stepTimeOf(
  profile: EngineProfile,
  writers: number,
  tokens: number,
): Milliseconds {
  const context = (tokens / THOUSAND) * profile.stepTimePerThousandTokens;
  return profile.stepTime + writers * (profile.stepTimePerRequest + context);
}

/** Time of a pass: the steps between two looks at waiting work. */
export function passTimeOf(
  profile: EngineProfile,
  writers: number,
  tokens: number,
): Milliseconds {
  const steps = Math.max(1, profile.stride);
  return steps * stepTimeOf(profile, writers, tokens);
}

/**
 * Time until the first event of a request that is sent to an engine now: half a
 * pass until the engine looks at waiting work, its turn at a place, a step for
 * each chunk of the unread prompts and its own, and one pass of writing.
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
  const look = writers > 0 ? pass / 2 : 0;
  const reading = work.unreadPrompts + promptTime;
  const stepsBetween = writers > 0 ? chunksOf(profile, reading) * step : 0;
  const writing = passTimeOf(profile, writers + 1, expectedTokens);
  const wait = waitForPlace(profile, work, request);
  const busy = (wait + look + reading + stepsBetween + writing) * work.pace;
  return busy + waitForLoad(profile, work, wait * work.pace);
}

/** Token steps in which prompts are read that take so long. */
function chunksOf(profile: EngineProfile, reading: Milliseconds): number {
  if (profile.prefillRate <= 0 || profile.prefillChunk <= 0) return 0;
  const chunk = (profile.prefillChunk * THOUSAND) / profile.prefillRate;
  return Math.ceil(reading / chunk);
}

/** Each of the places becomes free once in the time of a run. */
function waitForPlace(
  {slots}: EngineProfile,
  {running, waiting}: EngineWork,
  {expectedRun}: ForecastRequest,
): Milliseconds {
  const before = Math.max(0, running + waiting + 1 - slots);
  return (before * expectedRun) / Math.max(1, slots);
}

/** An engine that is to load begins nothing new from then on until it has. */
function waitForLoad(
  profile: EngineProfile,
  {loadsIn}: EngineWork,
  begunIn: Milliseconds,
): Milliseconds {
  if (loadsIn === undefined || begunIn < loadsIn) return 0;
  return profile.loadTime;
}
