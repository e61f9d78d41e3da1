import {mayBeServedIn} from '../routes';
import type {ObservedPace} from '../forecast';
import type {
  Milliseconds,
  ModelName,
  MonotonicInstant,
  RegionName,
  ZoneName,
} from '../types';
import type {OwnMemoryUse} from './memory_tracker';
import type {EngineTurn} from './engine_turns';
import type {
  EngineLoad,
  HeldModel,
  ListedTarget,
  PlacementRequest,
} from './types';

/** A report older than this says nothing of the load now, in milliseconds. */
export const MAX_REPORT_AGE = 2_000;

/** Lines lapse after three heartbeats of 1.2 s without a sign of life. */
const MAX_DENIAL_AGE = 3_600;

/** What an entry knows of one life of a target. */
export interface TargetRecord {
  target: ListedTarget;
  /** Told when this life ends with their request in hand. */
  readonly endListeners: Set<() => void>;
  /** Own requests, for the engine's memory. */
  readonly memory: OwnMemoryUse;
  /** What the list said when the target denied it. */
  deniedListing: string | undefined;
  deniedAt: MonotonicInstant;
  ownInFlight: number;
  /** Time in which it reads the prompts of own requests without a first event. */
  unreadPrompts: Milliseconds;
  /** Own sends less own ends since the last report. */
  ownInFlightChange: number;
  /** What this entry may fill of the free slots. */
  share: EngineTurn;
  report: EngineLoad | undefined;
  reportedAt: MonotonicInstant;
  failures: number;
  avoidUntil: MonotonicInstant;
  /** Pace of its first events, beside what is reported. */
  readonly observedPace: ObservedPace;
}

/** Whether engines are chosen by their load, or by the forecast first event. */
export type PlacementStrategy = 'load' | 'forecast';

/** What the operator says of places. */
export interface PlacementRules {
  /** Whether the zone's targets are to get nothing. */
  readonly isEvacuated: (zone: ZoneName) => boolean;
  /** What engines are chosen by. */
  readonly placement: PlacementStrategy;
  /** Undefined if the zone's region is not known. */
  readonly regionOf: (zone: ZoneName) => RegionName | undefined;
  /** Whether the target bears little right after its start. */
  readonly isCold: (target: ListedTarget, now: MonotonicInstant) => boolean;
}

/** The rules where the operator says nothing. */
export const DEFAULT_PLACEMENT_RULES: PlacementRules = {
  placement: 'load',
  isEvacuated: () => false,
  regionOf: () => undefined,
  isCold: () => false,
};

/** Whether a target is one of those among which a request may be served. */
export function mayServe(
  {service, zone}: ListedTarget,
  need: PlacementRequest,
  rules: PlacementRules,
): boolean {
  if (service !== need.service) return false;
  return mayBeServedIn(need.destinations, rules.regionOf(zone));
}

/** Whether a target that stays may start a request at all. */
export function canStart(
  entry: TargetRecord,
  need: PlacementRequest,
  zone: ZoneName,
  rules: PlacementRules,
): boolean {
  const {target} = entry;
  if (!mayServe(target, need, rules)) return false;
  if (rules.isEvacuated(target.zone)) return false;
  if (need.tried.has(target.instance)) return false;
  if (isDenied(entry, need.now)) return false;
  if (need.model === undefined) return true;
  const version = versionHeldBy(entry, need.model, need.now);
  const least =
    entry.target.zone === zone ? need.minVersion : need.minFarVersion;
  return version !== undefined && version >= (least ?? 0);
}

/** The version of a model that a target holds, as far as is known here. */
export function versionHeldBy(
  entry: TargetRecord,
  model: ModelName,
  now: MonotonicInstant,
): number | undefined {
  return heldBy(entry, now)?.find(held => held.model === model)?.version;
}

/** Whether this entry may send one more request to a target. */
export function hasRoom(
  entry: TargetRecord,
  now: MonotonicInstant,
  senders: number,
): boolean {
  if (!isReported(entry, now) || entry.report === undefined) {
    return hasRoomUnreported(entry, senders);
  }
  // An engine that loads weights refuses everything until it is done.
  if (entry.report.ordering) return false;
  return entry.ownInFlightChange < entry.share.allowed;
}

/**
 * Whether an engine is reported to have a place, dealt out to this entry or not.
 *
 * Failure: places are dealt out by turns, and what an entry doesn't use of its
 * turn is lost. With more entries than engines, requests wait for their entry's
 * turn until they are late while most engines have places.
 */
export function hasFreeSlot(
  entry: TargetRecord,
  now: MonotonicInstant,
): boolean {
  const {report, ownInFlightChange, target} = entry;
  if (report === undefined || !isReported(entry, now)) return false;
  if (report.ordering) return false;
  // One beside those dealt out: prompts of one entry don't wait for one another.
  if (ownInFlightChange > entry.share.allowed) return false;
  return report.running + report.waiting + ownInFlightChange < target.slots;
}

/** Without reports, each entry keeps to twice its part of the slots. */
function hasRoomUnreported(entry: TargetRecord, senders: number): boolean {
  const {slots, held} = entry.target;
  if (held === undefined) return entry.ownInFlight < slots;
  return entry.ownInFlight < Math.ceil((2 * slots) / Math.max(1, senders));
}

/**
 * Failure: engines have restarted, and the list still says what they held. Each
 * request that goes by it is turned away, until the first report comes. Guard:
 * what a target has denied once is believed no more, until it is reported on,
 * its line changes, or a line that nobody renews would have lapsed.
 */
function isDenied(entry: TargetRecord, now: MonotonicInstant): boolean {
  if (entry.deniedListing === undefined || isReported(entry, now)) return false;
  return now - entry.deniedAt < MAX_DENIAL_AGE;
}

/** What a line of the list says that a target may deny. */
export function listingKey({address, born, held}: ListedTarget): string {
  return JSON.stringify([address, born, held]);
}

/** The agent's word while it is fresh, the platform's list otherwise. */
function heldBy(
  entry: TargetRecord,
  now: MonotonicInstant,
): readonly HeldModel[] | undefined {
  return isReported(entry, now) ? entry.report?.held : entry.target.held;
}

/** Whether what its agent said of a target still counts. */
export function isReported(
  entry: TargetRecord,
  now: MonotonicInstant,
): boolean {
  return entry.report !== undefined && now - entry.reportedAt < MAX_REPORT_AGE;
}
