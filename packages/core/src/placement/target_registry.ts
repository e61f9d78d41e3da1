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

/** First pause for a target that fails, in milliseconds; doubles each time. */
const FIRST_PAUSE = 500;
const MAX_PAUSE = 4_000;

/** Targets of which is remembered what they said of themselves. */
const MAX_REMEMBERED_TARGETS = 1_000;

const UNKNOWN_TARGET_REQUEST: InFlightRequest = {
  begun: () => undefined,
  end: () => undefined,
};

/**
 * Creates the book of an entry. Nothing is chosen while `isListUsable` says that
 * what the entry goes by is too old, nor what `maySend` or `placeRules` exclude.
 */
export function createTargetRegistry(
  self: SendingEntry,
  isListUsable: () => boolean = () => true,
  maySend: SendPacer['maySend'] = () => true,
  placeRules: Partial<PlacementRules> = {},
): TargetRegistry {
  const {zone} = self;
  const rules = {...DEFAULT_PLACEMENT_RULES, ...placeRules};
  const prompts = createPromptTimes();
  let senders: readonly SendingEntry[] = [self];
  const places = new Map<ZoneName, SlotShare>();
  let entries = new Map<string, TargetRecord>();
  const memory = createMemoryTracker();
  const leavingTargets = createIncarnationMap<true>(MAX_REMEMBERED_TARGETS);
  const backoffEnds = createIncarnationMap<MonotonicInstant>(
    MAX_REMEMBERED_TARGETS,
  );
  const reports = new Map<string, {load: EngineLoad; at: MonotonicInstant}>();

  function list(targets: readonly ListedTarget[], now: MonotonicInstant): void {
    const next = new Map<string, TargetRecord>();
    for (const target of targets) {
      // A restored store may call it ready once more, until it says so again.
      if (target.leaving) recordLeaving(target);
      next.set(target.instance, entryOf(target, now));
    }
    entries = next;
  }

  /** The entry of the newest life that list and reports know of. */
  function entryOf(target: ListedTarget, now: MonotonicInstant): TargetRecord {
    const known = entries.get(target.instance);
    if (known === undefined) return createEntry(newestIncarnation(target));
    if (isEarlierIncarnation(target, known.target) && isReported(known, now)) {
      return known;
    }
    if (!isSameIncarnation(known.target, target)) {
      endIncarnation(known);
      return createEntry(target);
    }
    if (known.deniedListing !== listingKey(target)) {
      known.deniedListing = undefined;
    }
    known.target = target;
    return known;
  }

  /**
   * Failure: an engine dies and starts again, and the connections of its former
   * life fall silent; their streams wait for seconds for an event that never
   * comes. Guard: once its new life is known they are told at once. Targets that
   * hold no weights may have begun a request in their new life already.
   */
  function endIncarnation({endListeners: inHand, target}: TargetRecord): void {
    if (target.held === undefined) return;
    for (const onIncarnationEnded of [...inHand]) onIncarnationEnded();
  }

  function report(load: EngineLoad, now: MonotonicInstant): void {
    if (isLate(load, now)) return;
    reports.set(load.address, {load, at: now});
    for (const known of [...entries.values()]) {
      const {target} = known;
      if (
        target.address !== load.address ||
        isEarlierIncarnation(load, target)
      ) {
        continue;
      }
      const hasRestarted = isEarlierIncarnation(target, load);
      if (hasRestarted) endIncarnation(known);
      const entry = hasRestarted
        ? createEntry(newestIncarnation(target))
        : known;
      entries.set(target.instance, entry);
      entry.deniedListing = undefined;
      entry.report = load;
      entry.reportedAt = now;
      entry.ownInFlightChange = 0;
      entry.share = turnAt(entry.target, load, placeAt(entry.target.zone));
    }
  }

  /** A newer life that has fallen silent has the last word no more. */
  function isLate(load: EngineLoad, now: MonotonicInstant): boolean {
    const before = reports.get(load.address);
    if (before === undefined || now - before.at >= MAX_REPORT_AGE) return false;
    return isEarlierIncarnation(load, before.load);
  }

  /** What the list says of a former life holds for the new one no more. */
  function newestIncarnation(target: ListedTarget): ListedTarget {
    const reported = reports.get(target.address)?.load;
    if (reported === undefined || !isEarlierIncarnation(target, reported)) {
      return target;
    }
    return {...target, born: reported.born, held: target.held && []};
  }

  function placeAt(targetZone: ZoneName): SlotShare {
    const known = places.get(targetZone);
    if (known !== undefined) return known;
    const place = slotShareOf(self, senders, targetZone);
    places.set(targetZone, place);
    return place;
  }

  function setEntries(next: readonly SendingEntry[]): void {
    senders = next;
    places.clear();
  }

  function begin(target: ListedTarget, sent: SentRequest): InFlightRequest {
    const entry = entries.get(target.instance);
    if (entry === undefined) return UNKNOWN_TARGET_REQUEST;
    const {promptTime, onIncarnationEnded} = sent;
    const freeMemory = memory.begin(entry, sent.memory, sent.at ?? 0);
    prompts.record(target.service, promptTime);
    let unread = promptTime;
    const begun = (): void => {
      entry.unreadPrompts -= unread;
      unread = 0;
    };
    entry.ownInFlight += 1;
    entry.ownInFlightChange += 1;
    entry.unreadPrompts += unread;
    entry.endListeners.add(onIncarnationEnded);
    return {
      begun,
      end: () => {
        begun();
        freeMemory();
        entry.endListeners.delete(onIncarnationEnded);
        entry.ownInFlight -= 1;
        entry.ownInFlightChange -= 1;
      },
    };
  }

  function recordFailure(target: ListedTarget, now: MonotonicInstant): void {
    const entry = entries.get(target.instance);
    if (entry === undefined) return;
    entry.failures += 1;
    avoidAfterFailures(entry, now);
  }

  function recordRefusedConnection(
    target: ListedTarget,
    now: MonotonicInstant,
  ): void {
    const entry = entries.get(target.instance);
    if (entry === undefined) return;
    entry.failures = Math.max(entry.failures + 1, FAILURES_TO_AVOID);
    avoidAfterFailures(entry, now);
  }

  function avoidAfterFailures(
    entry: TargetRecord,
    now: MonotonicInstant,
  ): void {
    if (entry.failures < FAILURES_TO_AVOID) return;
    const doublings = entry.failures - FAILURES_TO_AVOID;
    const pause = Math.min(MAX_PAUSE, FIRST_PAUSE * 2 ** doublings);
    entry.avoidUntil = now + pause;
  }

  /** Whether this life has said that it leaves, in the list or in an answer. */
  function isLeaving(target: ListedTarget): boolean {
    return leavingTargets.get(target) === true;
  }

  function isStaying(target: ListedTarget): boolean {
    const entry = entries.get(target.instance);
    return entry !== undefined && !isLeaving(entry.target);
  }

  function recordLeaving(target: ListedTarget): boolean {
    if (leavingTargets.get(target) === true) return false;
    leavingTargets.set(target, true);
    return true;
  }

  /** When a target takes requests of this entry again; the past if it does. */
  function backoffEnd(target: ListedTarget): MonotonicInstant {
    return backoffEnds.get(target) ?? -Infinity;
  }

  function mayTake(entry: TargetRecord, need: PlacementRequest): boolean {
    if (backoffEnd(entry.target) > need.now) return false;
    return canStart(entry, need, zone, rules);
  }

  function mayStart(target: ListedTarget, need: PlacementRequest): boolean {
    const entry = entries.get(target.instance);
    if (entry === undefined || !isListUsable()) return false;
    return !isLeaving(entry.target) && mayTake(entry, need);
  }

  function hasMemoryFor(entry: TargetRecord, need: PlacementRequest): boolean {
    const place = placeAt(entry.target.zone);
    const isFresh = isReported(entry, need.now);
    return memory.hasRoom(entry, need, place, senders.length, isFresh);
  }

  function choose(need: PlacementRequest): TargetSelection {
    if (areEmpty(need.destinations)) return {kind: 'nowhere'};
    if (!isListUsable()) return {kind: 'outdated'};
    const ofService = [...entries.values()].filter(({target}) =>
      mayServe(target, need, rules),
    );
    const lasting = ofService.filter(({target}) => !isLeaving(target));
    if (ofService.length > 0 && lasting.length === 0) return {kind: 'leaving'};
    const staying = lasting.filter(
      ({target}) => !rules.isEvacuated(target.zone),
    );
    if (lasting.length > 0 && staying.length === 0) return {kind: 'evacuated'};
    const ends = staying.map(({target}) => backoffEnd(target));
    const firstEnd = Math.min(...ends);
    if (staying.length > 0 && firstEnd > need.now) {
      return {kind: 'backingOff', until: firstEnd};
    }
    const usable = staying.filter(entry => mayTake(entry, need));
    if (usable.length === 0) return {kind: 'none'};
    for (const entry of usable) {
      advanceTurn(entry, placeAt(entry.target.zone), need.now);
    }
    const calm = usable.filter(entry => entry.avoidUntil <= need.now);
    const withRoom = (calm.length > 0 ? calm : usable).filter(
      entry =>
        hasRoom(entry, need.now, senders.length) && hasMemoryFor(entry, need),
    );
    const allowed = withRoom.filter(({target}) => maySend(target, need.now));
    const open = (calm.length > 0 ? calm : usable).filter(
      entry => hasFreeSlot(entry, need.now) && maySend(entry.target, need.now),
    );
    const choices = {
      dealt: forPrompt(allowed, need),
      open: forPrompt(open, need),
      peers: usable,
    };
    const best = chooseBest(choices, need, zone, rules.placement);
    if (best === undefined) return {kind: 'full'};
    return {kind: 'chosen', target: best.target};
  }

  /** Cold targets bear little, so they are left to requests with short prompts. */
  function forPrompt(
    allowed: readonly TargetRecord[],
    {service, promptTime, now}: PlacementRequest,
  ): readonly TargetRecord[] {
    if (prompts.isShort(service, promptTime)) return allowed;
    const warm = allowed.filter(({target}) => !rules.isCold(target, now));
    return warm.length > 0 ? warm : allowed;
  }

  function createEntry(target: ListedTarget): TargetRecord {
    const reported = reports.get(target.address);
    const isOfFormerLife =
      reported && isEarlierIncarnation(reported.load, target);
    const early = isOfFormerLife === true ? undefined : reported;
    return {
      target,
      endListeners: new Set(),
      memory: createOwnMemoryUse(),
      deniedListing: undefined,
      deniedAt: -Infinity,
      ownInFlight: 0,
      unreadPrompts: 0,
      ownInFlightChange: 0,
      share:
        early === undefined
          ? NO_TURN
          : turnAt(target, early.load, placeAt(target.zone)),
      report: early?.load,
      reportedAt: early?.at ?? -Infinity,
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
      const entry = entries.get(target.instance);
      if (entry === undefined || !isReported(entry, now)) return false;
      return entry.report?.ordering === true;
    },
    isStaying,
    recordFailure,
    recordRefusedConnection,
    recordMisdirected(target, now) {
      const entry = entries.get(target.instance);
      if (entry === undefined) return;
      entry.deniedListing = listingKey(entry.target);
      entry.deniedAt = now;
    },
    recordSuccess(target) {
      const entry = entries.get(target.instance);
      if (entry === undefined) return;
      entry.failures = 0;
      entry.avoidUntil = -Infinity;
    },
    recordLeaving,
    recordBackoff: (target, until) => {
      backoffEnds.set(target, Math.max(until, backoffEnd(target)));
    },
    mayStart,
    choose,
    forecast: (target, need) => {
      const entry = entries.get(target.instance);
      return entry && forecastAt(entry, need);
    },
    recordFirstEvent: (target, ratio, now) =>
      entries.get(target.instance)?.observedPace.record(ratio, now),
    capacity: (service, now) =>
      capacityOf(
        [...entries.values()].filter(
          ({target}) =>
            target.service === service &&
            !isLeaving(target) &&
            !rules.isEvacuated(target.zone),
        ),
        now,
      ),
    heldVersion: (target, model, now) => {
      const entry = entries.get(target.instance);
      return entry && versionHeldBy(entry, model, now);
    },
  };
}
