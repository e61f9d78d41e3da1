import {createObservedPace} from '../forecast';
import type {MonotonicInstant, ZoneName} from '../types';
import {areEmpty} from '../routes';
import {slotShareOf, type SlotShare} from './allowance';
import {advanceTurn, NO_TURN, turnAt} from './engine_turns';
import {createIncarnationMap} from './incarnation_map';
import type {SendPacer} from './send_pacer';
import {createPromptTimes} from './prompt_times';
import {capacityOf} from './service_capacity';
import {chooseBest, forecastAt} from './target_choice';
import {
  canStart,
  hasFreeSlot,
  hasRoom,
  mayServe,
  DEFAULT_PLACEMENT_RULES,
  MAX_REPORT_AGE,
  isReported,
  listingKey,
  versionHeldBy,
  type PlacementRules,
  type TargetRecord,
} from './target_record';
import {createOwnMemoryUse, createMemoryTracker} from './memory_tracker';
import {isEarlierIncarnation, isSameIncarnation} from './target_incarnation';
import type {
  EngineLoad,
  ListedTarget,
  TargetSelection,
  PlacementRequest,
  InFlightRequest,
  SendingEntry,
  SentRequest,
  TargetRegistry,
} from './types';

/** Failures in a row after which a target is avoided. */
const FAILURES_TO_AVOID = 2;

/** First pause for a failing target, in milliseconds; doubled each time. */
const FIRST_PAUSE = 500;
const MAX_PAUSE = 4_000;

/** Maximum number of targets whose leaving and backoff state is kept. */
const MAX_REMEMBERED_TARGETS = 1_000;

const UNKNOWN_TARGET_REQUEST: InFlightRequest = {
  begun: () => undefined,
  end: () => undefined,
};

/**
 * Creates the registry of an entry. Nothing is chosen while `isListUsable`
 * reports that the list is too old, and no target that `maySend` or
 * `placementRules` exclude.
 */
export function createTargetRegistry(
  self: SendingEntry,
  isListUsable: () => boolean = () => true,
  maySend: SendPacer['maySend'] = () => true,
  placementRules: Partial<PlacementRules> = {},
): TargetRegistry {
  const {zone} = self;
  const rules = {...DEFAULT_PLACEMENT_RULES, ...placementRules};
  const prompts = createPromptTimes();
  let senders: readonly SendingEntry[] = [self];
  const slotShares = new Map<ZoneName, SlotShare>();
  let records = new Map<string, TargetRecord>();
  const memory = createMemoryTracker();
  const leavingTargets = createIncarnationMap<true>(MAX_REMEMBERED_TARGETS);
  const backoffEnds = createIncarnationMap<MonotonicInstant>(
    MAX_REMEMBERED_TARGETS,
  );
  const reports = new Map<string, {load: EngineLoad; at: MonotonicInstant}>();

  function list(targets: readonly ListedTarget[], now: MonotonicInstant): void {
    const next = new Map<string, TargetRecord>();
    for (const target of targets) {
      // A restored store may list it as ready until it reports leaving again.
      if (target.leaving) recordLeaving(target);
      next.set(target.instance, recordOf(target, now));
    }
    records = next;
  }

  /**
   * Returns the record of the newest incarnation in the list and the reports.
   */
  function recordOf(target: ListedTarget, now: MonotonicInstant): TargetRecord {
    const known = records.get(target.instance);
    if (known === undefined) return createRecord(newestIncarnation(target));
    if (isEarlierIncarnation(target, known.target) && isReported(known, now)) {
      return known;
    }
    if (!isSameIncarnation(known.target, target)) {
      endIncarnation(known);
      return createRecord(target);
    }
    if (known.deniedKey !== listingKey(target)) {
      known.deniedKey = undefined;
    }
    known.target = target;
    return known;
  }

  /**
   * Notifies the requests in flight that their incarnation has ended. When an
   * engine dies and restarts, its old connections stay silent, and without this
   * its streams wait for seconds for an event that never comes. Targets without
   * weights are skipped, as they may have begun a request in their new
   * incarnation already.
   */
  function endIncarnation({endListeners, target}: TargetRecord): void {
    if (target.held === undefined) return;
    for (const onIncarnationEnded of [...endListeners]) onIncarnationEnded();
  }

  function report(load: EngineLoad, now: MonotonicInstant): void {
    if (isLate(load, now)) return;
    reports.set(load.address, {load, at: now});
    for (const known of [...records.values()]) {
      const {target} = known;
      if (
        target.address !== load.address ||
        isEarlierIncarnation(load, target)
      ) {
        continue;
      }
      const hasRestarted = isEarlierIncarnation(target, load);
      if (hasRestarted) endIncarnation(known);
      const record = hasRestarted
        ? createRecord(newestIncarnation(target))
        : known;
      records.set(target.instance, record);
      record.deniedKey = undefined;
      record.report = load;
      record.reportedAt = now;
      record.ownInFlightChange = 0;
      record.share = turnAt(
        record.target,
        load,
        slotShareAt(record.target.zone),
      );
    }
  }

  /**
   * Whether a report is of an earlier incarnation. A newer one that has fallen
   * silent no longer overrides it.
   */
  function isLate(load: EngineLoad, now: MonotonicInstant): boolean {
    const before = reports.get(load.address);
    if (before === undefined || now - before.at >= MAX_REPORT_AGE) return false;
    return isEarlierIncarnation(load, before.load);
  }

  /** Listed state of an earlier incarnation doesn't apply to the new one. */
  function newestIncarnation(target: ListedTarget): ListedTarget {
    const reported = reports.get(target.address)?.load;
    if (reported === undefined || !isEarlierIncarnation(target, reported)) {
      return target;
    }
    return {...target, born: reported.born, held: target.held && []};
  }

  function slotShareAt(targetZone: ZoneName): SlotShare {
    const known = slotShares.get(targetZone);
    if (known !== undefined) return known;
    const slotShare = slotShareOf(self, senders, targetZone);
    slotShares.set(targetZone, slotShare);
    return slotShare;
  }

  function setEntries(next: readonly SendingEntry[]): void {
    senders = next;
    slotShares.clear();
  }

  function begin(target: ListedTarget, sent: SentRequest): InFlightRequest {
    const record = records.get(target.instance);
    if (record === undefined) return UNKNOWN_TARGET_REQUEST;
    const {promptTime, onIncarnationEnded} = sent;
    const freeMemory = memory.begin(record, sent.memory, sent.at ?? 0);
    prompts.record(target.service, promptTime);
    let unread = promptTime;
    const begun = (): void => {
      record.unreadPrompts -= unread;
      unread = 0;
    };
    record.ownInFlight += 1;
    record.ownInFlightChange += 1;
    record.unreadPrompts += unread;
    record.endListeners.add(onIncarnationEnded);
    return {
      begun,
      end: () => {
        begun();
        freeMemory();
        record.endListeners.delete(onIncarnationEnded);
        record.ownInFlight -= 1;
        record.ownInFlightChange -= 1;
      },
    };
  }

  function recordFailure(target: ListedTarget, now: MonotonicInstant): void {
    const record = records.get(target.instance);
    if (record === undefined) return;
    record.failures += 1;
    avoidAfterFailures(record, now);
  }

  function recordRefusedConnection(
    target: ListedTarget,
    now: MonotonicInstant,
  ): void {
    const record = records.get(target.instance);
    if (record === undefined) return;
    record.failures = Math.max(record.failures + 1, FAILURES_TO_AVOID);
    avoidAfterFailures(record, now);
  }

  function avoidAfterFailures(
    record: TargetRecord,
    now: MonotonicInstant,
  ): void {
    if (record.failures < FAILURES_TO_AVOID) return;
    const doublings = record.failures - FAILURES_TO_AVOID;
    const pause = Math.min(MAX_PAUSE, FIRST_PAUSE * 2 ** doublings);
    record.avoidUntil = now + pause;
  }

  /** Whether this incarnation is leaving, by the list or by a response. */
  function isLeaving(target: ListedTarget): boolean {
    return leavingTargets.get(target) === true;
  }

  function isStaying(target: ListedTarget): boolean {
    const record = records.get(target.instance);
    return record !== undefined && !isLeaving(record.target);
  }

  function recordLeaving(target: ListedTarget): boolean {
    if (leavingTargets.get(target) === true) return false;
    leavingTargets.set(target, true);
    return true;
  }

  /**
   * Returns when a target accepts requests of this entry again; a time in the
   * past if it already does.
   */
  function backoffEnd(target: ListedTarget): MonotonicInstant {
    return backoffEnds.get(target) ?? -Infinity;
  }

  function mayTake(record: TargetRecord, request: PlacementRequest): boolean {
    if (backoffEnd(record.target) > request.now) return false;
    return canStart(record, request, zone, rules);
  }

  function mayStart(target: ListedTarget, request: PlacementRequest): boolean {
    const record = records.get(target.instance);
    if (record === undefined || !isListUsable()) return false;
    return !isLeaving(record.target) && mayTake(record, request);
  }

  function hasMemoryFor(
    record: TargetRecord,
    request: PlacementRequest,
  ): boolean {
    const slotShare = slotShareAt(record.target.zone);
    const isFresh = isReported(record, request.now);
    return memory.hasRoom(record, request, slotShare, senders.length, isFresh);
  }

  function choose(request: PlacementRequest): TargetSelection {
    if (areEmpty(request.destinations)) return {kind: 'nowhere'};
    if (!isListUsable()) return {kind: 'outdated'};
    const ofService = [...records.values()].filter(({target}) =>
      mayServe(target, request, rules),
    );
    const active = ofService.filter(({target}) => !isLeaving(target));
    if (ofService.length > 0 && active.length === 0) return {kind: 'leaving'};
    const staying = active.filter(
      ({target}) => !rules.isEvacuated(target.zone),
    );
    if (active.length > 0 && staying.length === 0) return {kind: 'evacuated'};
    const ends = staying.map(({target}) => backoffEnd(target));
    const firstEnd = Math.min(...ends);
    if (staying.length > 0 && firstEnd > request.now) {
      return {kind: 'backingOff', until: firstEnd};
    }
    const usable = staying.filter(record => mayTake(record, request));
    if (usable.length === 0) return {kind: 'none'};
    for (const record of usable) {
      advanceTurn(record, slotShareAt(record.target.zone), request.now);
    }
    const notAvoided = usable.filter(
      record => record.avoidUntil <= request.now,
    );
    const withRoom = (notAvoided.length > 0 ? notAvoided : usable).filter(
      record =>
        hasRoom(record, request.now, senders.length) &&
        hasMemoryFor(record, request),
    );
    const allowed = withRoom.filter(({target}) => maySend(target, request.now));
    const open = (notAvoided.length > 0 ? notAvoided : usable).filter(
      record =>
        hasFreeSlot(record, request.now) && maySend(record.target, request.now),
    );
    const choices = {
      assigned: forPrompt(allowed, request),
      open: forPrompt(open, request),
      peers: usable,
    };
    const best = chooseBest(choices, request, zone, rules.placement);
    if (best === undefined) return {kind: 'full'};
    return {kind: 'chosen', target: best.target};
  }

  /** Cold targets take few requests, so they are left to short prompts. */
  function forPrompt(
    allowed: readonly TargetRecord[],
    {service, promptTime, now}: PlacementRequest,
  ): readonly TargetRecord[] {
    if (prompts.isShort(service, promptTime)) return allowed;
    const warm = allowed.filter(({target}) => !rules.isCold(target, now));
    return warm.length > 0 ? warm : allowed;
  }

  function createRecord(target: ListedTarget): TargetRecord {
    const reported = reports.get(target.address);
    const isOfEarlierIncarnation =
      reported && isEarlierIncarnation(reported.load, target);
    const usableReport = isOfEarlierIncarnation === true ? undefined : reported;
    return {
      target,
      endListeners: new Set(),
      memory: createOwnMemoryUse(),
      deniedKey: undefined,
      deniedAt: -Infinity,
      ownInFlight: 0,
      unreadPrompts: 0,
      ownInFlightChange: 0,
      share:
        usableReport === undefined
          ? NO_TURN
          : turnAt(target, usableReport.load, slotShareAt(target.zone)),
      report: usableReport?.load,
      reportedAt: usableReport?.at ?? -Infinity,
      failures: 0,
      avoidUntil: -Infinity,
      observedPace: createObservedPace(),
    };
  }

  return {
    list,
    setEntries,
    report,
    begin,
    isDrainingForLoad: (target, now) => {
      const record = records.get(target.instance);
      if (record === undefined || !isReported(record, now)) return false;
      return record.report?.ordering === true;
    },
    isStaying,
    recordFailure,
    recordRefusedConnection,
    recordMisdirected(target, now) {
      const record = records.get(target.instance);
      if (record === undefined) return;
      record.deniedKey = listingKey(record.target);
      record.deniedAt = now;
    },
    recordSuccess(target) {
      const record = records.get(target.instance);
      if (record === undefined) return;
      record.failures = 0;
      record.avoidUntil = -Infinity;
    },
    recordLeaving,
    recordBackoff: (target, until) => {
      backoffEnds.set(target, Math.max(until, backoffEnd(target)));
    },
    mayStart,
    choose,
    forecast: (target, request) => {
      const record = records.get(target.instance);
      return record && forecastAt(record, request);
    },
    recordFirstEvent: (target, ratio, now) =>
      records.get(target.instance)?.observedPace.record(ratio, now),
    capacity: (service, now) =>
      capacityOf(
        [...records.values()].filter(
          ({target}) =>
            target.service === service &&
            !isLeaving(target) &&
            !rules.isEvacuated(target.zone),
        ),
        now,
      ),
    heldVersion: (target, model, now) => {
      const record = records.get(target.instance);
      return record && versionHeldBy(record, model, now);
    },
  };
}
