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

/**
 * Age in milliseconds after which a report says nothing about the current load.
 */
export const MAX_REPORT_AGE = 2_000;

/**
 * Time in milliseconds for which a denial counts: rows expire after three
 * heartbeats of 1.2 s.
 */
const MAX_DENIAL_AGE = 3_600;

/** What an entry knows about one incarnation of a target. */
export interface TargetRecord {
  target: ListedTarget;
  /** Called when this incarnation ends while their request is in flight. */
  readonly endListeners: Set<() => void>;
  /** This entry's requests, for the engine's memory. */
  readonly memory: OwnMemoryUse;
  /** Key of the listed row that the target denied. */
  deniedKey: string | undefined;
  deniedAt: MonotonicInstant;
  ownInFlight: number;
  /**
   * Time to read the prompts of this entry's requests without a first event.
   */
  unreadPrompts: Milliseconds;
  /**
   * Requests started minus requests ended by this entry since the last report.
   */
  ownInFlightChange: number;
  /** Share of the free slots that this entry may fill. */
  share: EngineTurn;
  report: EngineLoad | undefined;
  reportedAt: MonotonicInstant;
  failures: number;
  avoidUntil: MonotonicInstant;
  /** Pace observed from first events, in addition to the reported one. */
  readonly observedPace: ObservedPace;
}

/** Whether engines are chosen by load or by the forecast first event. */
export type PlacementStrategy = 'load' | 'forecast';

/** The operator's rules for placement. */
export interface PlacementRules {
  /** Whether the zone's targets must get no requests. */
  readonly isEvacuated: (zone: ZoneName) => boolean;
  /** Strategy by which engines are chosen. */
  readonly placement: PlacementStrategy;
  /** Undefined if the zone's region is not known. */
  readonly regionOf: (zone: ZoneName) => RegionName | undefined;
  /** Whether the target is in its cold start and takes few requests. */
  readonly isCold: (target: ListedTarget, now: MonotonicInstant) => boolean;
}

/** The rules where the operator sets none. */
export const DEFAULT_PLACEMENT_RULES: PlacementRules = {
  placement: 'load',
  isEvacuated: () => false,
  regionOf: () => undefined,
  isCold: () => false,
};

/** Whether a target is among those that may serve a request. */
export function mayServe(
  {service, zone}: ListedTarget,
  request: PlacementRequest,
  rules: PlacementRules,
): boolean {
  if (service !== request.service) return false;
  return mayBeServedIn(request.destinations, rules.regionOf(zone));
}

/** Whether a target that isn't leaving may start a request at all. */
export function canStart(
  record: TargetRecord,
  request: PlacementRequest,
  zone: ZoneName,
  rules: PlacementRules,
): boolean {
  const {target} = record;
  if (!mayServe(target, request, rules)) return false;
  if (rules.isEvacuated(target.zone)) return false;
  if (request.tried.has(target.instance)) return false;
  if (isDenied(record, request.now)) return false;
  if (request.model === undefined) return true;
  const version = versionHeldBy(record, request.model, request.now);
  const minVersion =
    record.target.zone === zone ? request.minVersion : request.minFarVersion;
  return version !== undefined && version >= (minVersion ?? 0);
}

/**
 * Returns the version of a model that a target holds, as far as is known here.
 */
export function versionHeldBy(
  record: TargetRecord,
  model: ModelName,
  now: MonotonicInstant,
): number | undefined {
  return heldBy(record, now)?.find(held => held.model === model)?.version;
}

/** Whether this entry may send one more request to a target. */
export function hasRoom(
  record: TargetRecord,
  now: MonotonicInstant,
  senders: number,
): boolean {
  if (!isReported(record, now) || record.report === undefined) {
    return hasRoomUnreported(record, senders);
  }
  // An engine that loads weights refuses everything until it is done.
  if (record.report.ordering) return false;
  return record.ownInFlightChange < record.share.allowed;
}

/**
 * Whether an engine is reported to have a free slot, assigned to this entry or
 * not.
 *
 * Slots are assigned by turns, and what an entry doesn't use of its turn is
 * lost. Without open slots, if there are more entries than engines, requests
 * wait for their entry's turn until they are late while most engines have free
 * slots.
 */
export function hasFreeSlot(
  record: TargetRecord,
  now: MonotonicInstant,
): boolean {
  const {report, ownInFlightChange, target} = record;
  if (report === undefined || !isReported(record, now)) return false;
  if (report.ordering) return false;
  // At most one beyond the assigned slots, so that an entry's prompts don't
  // wait for one another.
  if (ownInFlightChange > record.share.allowed) return false;
  return report.running + report.waiting + ownInFlightChange < target.slots;
}

/** Without reports, each entry uses at most twice its share of the slots. */
function hasRoomUnreported(record: TargetRecord, senders: number): boolean {
  const {slots, held} = record.target;
  if (held === undefined) return record.ownInFlight < slots;
  return record.ownInFlight < Math.ceil((2 * slots) / Math.max(1, senders));
}

/**
 * Whether the target denied the listed row. Without this, after engines have
 * restarted, each request that relies on the old row is rejected until the
 * first report arrives. A denial counts until a report arrives, the row
 * changes, or a row that nobody renews would have expired.
 */
function isDenied(record: TargetRecord, now: MonotonicInstant): boolean {
  if (record.deniedKey === undefined || isReported(record, now)) return false;
  return now - record.deniedAt < MAX_DENIAL_AGE;
}

/** Returns the parts of a listed row that a target may deny. */
export function listingKey({address, born, held}: ListedTarget): string {
  return JSON.stringify([address, born, held]);
}

/**
 * Returns the held models: from the agent's report while it is fresh, otherwise
 * from the platform's list.
 */
function heldBy(
  record: TargetRecord,
  now: MonotonicInstant,
): readonly HeldModel[] | undefined {
  return isReported(record, now) ? record.report?.held : record.target.held;
}

/** Whether the last report of a target's agent still counts. */
export function isReported(
  known: TargetRecord,
  now: MonotonicInstant,
): boolean {
  return known.report !== undefined && now - known.reportedAt < MAX_REPORT_AGE;
}
