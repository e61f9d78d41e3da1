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

/** Error of a forecast, in milliseconds, within which a first event may be late. */
const FORECAST_ERROR: Milliseconds = 60;

/** What a late first event weighs, as milliseconds of an earlier one. */
const LATE_COST: Milliseconds = 1_000;

/** The same for a target in another zone: about one way there and back. */
const FAR_COST: Milliseconds = 20;

/** Share of a prompt's reading that delays each request that runs there. */
const DELAY_SHARE = 0.05;

/** Share of a run's time that counts for the place it holds. */
const RUN_TIME_SHARE = 0.05;

/** What an engine with all places in use weighs beside an idle one. */
const LOAD_COST: Milliseconds = 50;

/** What a run that an engine's load would wait for weighs. */
const RUN_INTO_LOAD_COST: Milliseconds = 100;

/**
 * Prompts, as long as the request's own, that the entries whose turn is before
 * this one's may send before the next report. With one prompt in place of four,
 * 8.0 in place of 6.1% are late with 17 entries and engines in slow periods. Of
 * open places, all entries know the same ones.
 */
const TURN_PROMPTS = {dealt: 4, open: 16};

/**
 * Share of the engines that must have an open place for any to be taken. At 1.1
 * times the capacity, entries that take the last few collide there: 33.6% are
 * late with 17 entries, 28.7 with this share, 25.1 by turns alone.
 */
const MIN_OPEN_SHARE = 0.5;

/** Whether places are dealt out to this entry or open to all. */
type SlotSource = keyof typeof TURN_PROMPTS;

/** Targets that a request may be sent to. */
export interface TargetCandidates {
  /** With a place that is dealt out to this entry. */
  readonly dealt: readonly TargetRecord[];
  /** With a place, dealt out to this entry or not. */
  readonly open: readonly TargetRecord[];
  /** All that could serve the request. */
  readonly peers: readonly TargetRecord[];
}

/** The target with the least cost; undefined if there is none. */
export function chooseBest(
  {dealt, open, peers}: TargetCandidates,
  need: PlacementRequest,
  zone: ZoneName,
  placement: PlacementStrategy,
): TargetRecord | undefined {
  const {profile, now, firstEventDeadline} = need;
  if (profile === undefined || placement === 'load') {
    return cheapestOf(dealt, entry => costOf(entry, need, zone));
  }
  const {paces, isUneven} = pacesOf(peers, now);
  const paceOf = new Map(peers.map((peer, index) => [peer, paces[index]]));
  const harmAs = (deal: SlotSource) => (entry: TargetRecord) =>
    forecastCost(entry, {
      need,
      zone,
      profile,
      deal,
      pace: paceOf.get(entry) ?? 1,
    });
  const byDeal = isUneven
    ? cheapestOf(dealt, harmAs('dealt'))
    : cheapestOf(dealt, entry => costOf(entry, need, zone));
  if (byDeal !== undefined || firstEventDeadline === undefined) return byDeal;
  if (open.length < peers.length * MIN_OPEN_SHARE) return undefined;
  return cheapestOf(open, harmAs('open'));
}

function cheapestOf(
  entries: readonly TargetRecord[],
  costBy: (entry: TargetRecord) => number,
): TargetRecord | undefined {
  let best: TargetRecord | undefined;
  let least = Infinity;
  for (const entry of entries) {
    const cost = costBy(entry);
    if (cost >= least) continue;
    best = entry;
    least = cost;
  }
  return best;
}

/** Time until the first event at a target; undefined for plain targets. */
export function forecastAt(
  entry: TargetRecord,
  need: PlacementRequest,
): Milliseconds | undefined {
  if (need.profile === undefined) return undefined;
  const work = workAt(entry, need, reportedPace(entry, need.now));
  return forecastFirstEvent(need.profile, work, need);
}

/** The paces of targets of one service, in their order. */
export function pacesOf(
  entries: readonly TargetRecord[],
  now: MonotonicInstant,
): RelativePaces {
  return relativePaces(
    entries.map(entry => ({
      zone: entry.target.zone,
      reported: reportedPace(entry, now),
      logObserved: entry.observedPace.logPace(now),
    })),
  );
}

/** What the harm of a place goes by. */
interface CostTerms {
  readonly need: PlacementRequest;
  readonly zone: ZoneName;
  readonly profile: EngineProfile;
  readonly deal: SlotSource;
  readonly pace: number;
}

/** What a place costs the request and others, in milliseconds. */
function forecastCost(
  entry: TargetRecord,
  {need, zone, profile, deal, pace}: CostTerms,
): Milliseconds {
  const {promptTime, expectedRun} = need;
  const work = workAt(entry, need, pace);
  const turns = entry.share.before * TURN_PROMPTS[deal] * promptTime * pace;
  const first = forecastFirstEvent(profile, work, need) + turns;
  const delay = work.running * promptTime * pace * DELAY_SHARE;
  const run = expectedRun * pace;
  const load = ((work.running + work.waiting) / profile.slots) * pace;
  const far = entry.target.zone === zone ? 0 : FAR_COST;
  const runsIntoLoad = work.loadsIn !== undefined && run > work.loadsIn;
  return (
    first +
    latenessOf(first, need) +
    delay +
    run * RUN_TIME_SHARE +
    load * LOAD_COST +
    far +
    (runsIntoLoad ? RUN_INTO_LOAD_COST : 0)
  );
}

function latenessOf(
  first: Milliseconds,
  {firstEventDeadline, now}: PlacementRequest,
): Milliseconds {
  if (firstEventDeadline === undefined) return 0;
  const left = firstEventDeadline - now - first;
  return LATE_COST / (1 + Math.exp(left / FORECAST_ERROR));
}

/** Prompts of others are unread at least while their requests wait there. */
function workAt(
  entry: TargetRecord,
  need: PlacementRequest,
  pace: number,
): EngineWork {
  const {report, ownInFlight, ownInFlightChange, unreadPrompts} = entry;
  if (!isReported(entry, need.now) || report === undefined) {
    const running = ownInFlight;
    return {running, waiting: 0, unreadPrompts, loadsIn: undefined, pace};
  }
  const {waiting, loadsIn} = report;
  return {
    running: Math.max(ownInFlight, report.running + ownInFlightChange),
    waiting,
    unreadPrompts: Math.max(unreadPrompts, waiting * need.promptTime),
    loadsIn,
    pace,
  };
}

/** What the agent says, fading to 1 with the report's age. */
function reportedPace(entry: TargetRecord, now: MonotonicInstant): number {
  const {report, reportedAt} = entry;
  if (report === undefined || !isReported(entry, now)) return 1;
  const fresh = 1 - Math.max(0, now - reportedAt) / MAX_REPORT_AGE;
  return 1 + (report.pace - 1) * fresh;
}
