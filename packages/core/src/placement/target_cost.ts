import type {MonotonicInstant, ZoneName} from '../types';
import {isReported, type TargetRecord} from './target_record';
import type {PlacementRequest} from './types';

/**
 * Load that a target in another zone must be below a near one, as a share of
 * its slots. Bytes between zones cost about 2% of a request's worth, and an
 * eighth of an engine's slots costs its streams about as much in time.
 */
const OTHER_ZONE_LOAD = 0.12;

/**
 * Cost of a request that would run on after its engine is to load weights: the
 * load waits for it while the other slots stand idle.
 */
const RUN_INTO_LOAD_COST = 0.5;

/**
 * Unread prompts, in milliseconds, that weigh as much as all slots of an engine
 * in use: an answer's first event waits for all of them, while a slot in use
 * makes steps 0.4% slower.
 */
const FULL_LOAD_PROMPT_TIME = 400;

/**
 * Weight of another entry's turn at an engine. Failure: all entries of a zone see
 * the same least loaded engine and send to it within one report; three prompts
 * wait for one another while other engines read none. With turns, each prefers
 * another engine.
 */
const TURN_COST = 0.15;

/** Requests that a target has now, as far as can be told from here. */
function loadOf(entry: TargetRecord, now: MonotonicInstant): number {
  if (!isReported(entry, now) || entry.report === undefined) {
    return entry.ownInFlight;
  }
  const {running, waiting} = entry.report;
  return Math.max(
    entry.ownInFlight,
    running + waiting + entry.ownInFlightChange,
  );
}

/** What a place costs; the least one is taken. */
export function costOf(
  entry: TargetRecord,
  need: PlacementRequest,
  zone: ZoneName,
): number {
  const load = loadOf(entry, need.now) / Math.max(1, entry.target.slots);
  const far = entry.target.zone === zone ? 0 : OTHER_ZONE_LOAD;
  const pace = entry.report?.pace ?? 1;
  const unread = entry.unreadPrompts / FULL_LOAD_PROMPT_TIME;
  const turn = entry.share.before * TURN_COST;
  return load * pace + unread + far + turn + loadCost(entry, need);
}

function loadCost(
  {report}: TargetRecord,
  {expectedRun}: PlacementRequest,
): number {
  if (report?.loadsIn === undefined) return 0;
  return expectedRun > report.loadsIn ? RUN_INTO_LOAD_COST : 0;
}
