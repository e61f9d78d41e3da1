import type {MonotonicInstant, ZoneName} from '../types';
import {isReported, type TargetRecord} from './target_record';
import type {PlacementRequest} from './types';

/**
 * How much lower the load of a target in another zone must be than that of a
 * near one, as a share of its slots. Bytes between zones cost about 2% of a
 * request's value, and an eighth of an engine's slots costs its streams about
 * as much in time.
 */
const OTHER_ZONE_LOAD = 0.12;

/**
 * Cost of a request that would still run when its engine is to load weights:
 * the load waits for it while the other slots are idle.
 */
const RUN_INTO_LOAD_COST = 0.5;

/**
 * Unread prompts, in milliseconds, that cost as much as an engine with all
 * slots in use: a first event waits for all of them, while a used slot makes
 * steps only 0.4% slower.
 */
const FULL_LOAD_PROMPT_TIME = 400;

/**
 * Cost of coming last in the turns at an engine. Without it, all entries of a
 * zone send to the same least loaded engine within one report, and three
 * prompts wait for one another while other engines read none.
 */
const TURN_COST = 0.15;

/** Returns the number of requests at a target, as far as it is known here. */
function loadOf(record: TargetRecord, now: MonotonicInstant): number {
  if (!isReported(record, now) || record.report === undefined) {
    return record.ownInFlight;
  }
  const {running, waiting} = record.report;
  return Math.max(
    record.ownInFlight,
    running + waiting + record.ownInFlightChange,
  );
}

/** Returns the cost of a target; the lowest one is chosen. */
export function costOf(
  record: TargetRecord,
  request: PlacementRequest,
  zone: ZoneName,
): number {
  const load = loadOf(record, request.now) / Math.max(1, record.target.slots);
  const far = record.target.zone === zone ? 0 : OTHER_ZONE_LOAD;
  const pace = record.report?.pace ?? 1;
  const unread = record.unreadPrompts / FULL_LOAD_PROMPT_TIME;
  const turn = record.share.before * TURN_COST;
  return load * pace + unread + far + turn + loadCost(record, request);
}

function loadCost(
  {report}: TargetRecord,
  {expectedRun}: PlacementRequest,
): number {
  if (report?.loadsIn === undefined) return 0;
  return expectedRun > report.loadsIn ? RUN_INTO_LOAD_COST : 0;
}
