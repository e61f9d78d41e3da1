import {
  forecastFirstEvent,
  relativePaces,
  type EngineWork,
  type RelativePaces,
} from '../forecast';
import type {EngineProfile} from '../routes';
import type {Milliseconds, MonotonicInstant, ZoneName} from '../types';
import {costOf} from './target_cost';
import {
  isReported,
  MAX_REPORT_AGE,
  type PlacementStrategy,
  type TargetRecord,
} from './target_record';
import type {PlacementRequest} from './types';

/**
 * Typical error of a forecast, in milliseconds; a first event forecast this
 * close to its deadline may be late.
 */
const FORECAST_ERROR: Milliseconds = 60;

/** Cost of a late first event, in milliseconds of an earlier one. */
const LATE_COST: Milliseconds = 1_000;

/** Cost of a target in another zone: about one round trip. */
const FAR_COST: Milliseconds = 20;

/**
 * Share of a prompt's read time by which it delays each request that runs
 * there.
 */
const DELAY_SHARE = 0.05;

/** Share of a run's time that counts for the slot it occupies. */
const RUN_TIME_SHARE = 0.05;

/** Cost of an engine with all slots in use compared with an idle one. */
const LOAD_COST: Milliseconds = 50;

/** Cost of a run that an engine's load of weights would have to wait for. */
const RUN_INTO_LOAD_COST: Milliseconds = 100;

/**
 * Prompts, as long as the request's own, that entries whose turn comes first
 * may send before the next report. With one prompt instead of four, 8.0%
 * instead of 6.1% of the first events are late with 17 entries and engines in
 * slow periods. Open slots are known to all entries at once.
 */
const TURN_PROMPTS = {assigned: 4, open: 16};

/**
 * Share of the engines that must have an open slot for any to be used. At 1.1
 * times the capacity, entries that use the last few open slots collide: 33.6%
 * of the first events are late with 17 entries, 28.7% with this share and 25.1%
 * by turns alone.
 */
const MIN_OPEN_SHARE = 0.5;

/** Whether slots are assigned to this entry or open to all. */
type SlotSource = keyof typeof TURN_PROMPTS;

/** Targets that a request may be sent to. */
export interface TargetCandidates {
  /** Targets with a slot that is assigned to this entry. */
  readonly assigned: readonly TargetRecord[];
  /** Targets with a free slot, assigned to this entry or not. */
  readonly open: readonly TargetRecord[];
  /** All targets that could serve the request. */
  readonly peers: readonly TargetRecord[];
}

/** Returns the target with the lowest cost; undefined if there is none. */
export function chooseBest(
  {assigned, open, peers}: TargetCandidates,
  request: PlacementRequest,
  zone: ZoneName,
  placement: PlacementStrategy,
): TargetRecord | undefined {
  const {profile, now, firstEventDeadline} = request;
  if (profile === undefined || placement === 'load') {
    return cheapestOf(assigned, record => costOf(record, request, zone));
  }
  const {paces, isUneven} = pacesOf(peers, now);
  const paceOf = new Map(peers.map((peer, index) => [peer, paces[index]]));
  const costFrom = (slotSource: SlotSource) => (record: TargetRecord) =>
    forecastCost(record, {
      placementRequest: request,
      zone,
      profile,
      slotSource,
      pace: paceOf.get(record) ?? 1,
    });
  const byTurn = isUneven
    ? cheapestOf(assigned, costFrom('assigned'))
    : cheapestOf(assigned, record => costOf(record, request, zone));
  if (byTurn !== undefined || firstEventDeadline === undefined) return byTurn;
  if (open.length < peers.length * MIN_OPEN_SHARE) return undefined;
  return cheapestOf(open, costFrom('open'));
}

function cheapestOf(
  records: readonly TargetRecord[],
  costBy: (record: TargetRecord) => number,
): TargetRecord | undefined {
  let best: TargetRecord | undefined;
  let minCost = Infinity;
  for (const record of records) {
    const cost = costBy(record);
    if (cost >= minCost) continue;
    best = record;
    minCost = cost;
  }
  return best;
}

/**
 * Returns the time until the first event at a target; undefined for plain
 * targets.
 */
export function forecastAt(
  record: TargetRecord,
  request: PlacementRequest,
): Milliseconds | undefined {
  if (request.profile === undefined) return undefined;
  const work = workAt(record, request, reportedPace(record, request.now));
  return forecastFirstEvent(request.profile, work, request);
}

/** Returns the paces of a service's targets, in the same order. */
export function pacesOf(
  records: readonly TargetRecord[],
  now: MonotonicInstant,
): RelativePaces {
  return relativePaces(
    records.map(record => ({
      zone: record.target.zone,
      reported: reportedPace(record, now),
      logObserved: record.observedPace.logPace(now),
    })),
  );
}

/** Inputs of the forecast cost. */
interface CostTerms {
  readonly placementRequest: PlacementRequest;
  readonly zone: ZoneName;
  readonly profile: EngineProfile;
  readonly slotSource: SlotSource;
  readonly pace: number;
}

/** Returns what a target costs the request and others, in milliseconds. */
function forecastCost(
  record: TargetRecord,
  {placementRequest: request, zone, profile, slotSource, pace}: CostTerms,
): Milliseconds {
  const {promptTime, expectedRun} = request;
  const work = workAt(record, request, pace);
  const turns =
    record.share.before * TURN_PROMPTS[slotSource] * promptTime * pace;
  const firstEvent = forecastFirstEvent(profile, work, request) + turns;
  const delay = work.running * promptTime * pace * DELAY_SHARE;
  const run = expectedRun * pace;
  const load = ((work.running + work.waiting) / profile.slots) * pace;
  const far = record.target.zone === zone ? 0 : FAR_COST;
  const runsIntoLoad = work.loadsIn !== undefined && run > work.loadsIn;
  return (
    firstEvent +
    latenessOf(firstEvent, request) +
    delay +
    run * RUN_TIME_SHARE +
    load * LOAD_COST +
    far +
    (runsIntoLoad ? RUN_INTO_LOAD_COST : 0)
  );
}

function latenessOf(
  firstEvent: Milliseconds,
  {firstEventDeadline, now}: PlacementRequest,
): Milliseconds {
  if (firstEventDeadline === undefined) return 0;
  const timeLeft = firstEventDeadline - now - firstEvent;
  return LATE_COST / (1 + Math.exp(timeLeft / FORECAST_ERROR));
}

/**
 * Returns an engine's work. Prompts of other entries are unread at least while
 * their requests wait there.
 */
function workAt(
  record: TargetRecord,
  request: PlacementRequest,
  pace: number,
): EngineWork {
  const {report, ownInFlight, ownInFlightChange, unreadPrompts} = record;
  if (!isReported(record, request.now) || report === undefined) {
    const running = ownInFlight;
    return {running, waiting: 0, unreadPrompts, loadsIn: undefined, pace};
  }
  const {waiting, loadsIn} = report;
  return {
    running: Math.max(ownInFlight, report.running + ownInFlightChange),
    waiting,
    unreadPrompts: Math.max(unreadPrompts, waiting * request.promptTime),
    loadsIn,
    pace,
  };
}

/** Returns the pace from the agent's report, fading to 1 with its age. */
function reportedPace(record: TargetRecord, now: MonotonicInstant): number {
  const {report, reportedAt} = record;
  if (report === undefined || !isReported(record, now)) return 1;
  const fresh = 1 - Math.max(0, now - reportedAt) / MAX_REPORT_AGE;
  return 1 + (report.pace - 1) * fresh;
}
