import {createSeenPace} from '../forecast';
import type {MonotonicInstant, ZoneName} from '../types';
import {areNowhere} from '../routes';
import {sharePlace, type SharePlace} from './allowance';
import {moveTurn, NO_TURN, turnAt} from './engine_turns';
import {createLifeMemory} from './life_memory';
import type {PacedSends} from './paced_sends';
import {createPromptTimes} from './prompt_times';
import {capacityOf} from './service_capacity';
import {chooseBest, forecastAt} from './target_choice';
import {
  fits,
  hasFreePlace,
  hasRoom,
  mayServe,
  NO_PLACE_RULES,
  REPORT_LIFE,
  isReported,
  saidOf,
  versionHeldBy,
  type PlaceRules,
  type TargetEntry,
} from './target_entry';
import {createOwnMemory, createTargetMemory} from './target_memory';
import {isFormerLife, isSameLife} from './target_life';
import type {
  EngineLoad,
  ListedTarget,
  TargetPlace,
  PlaceNeed,
  RequestInHand,
  SendingEntry,
  SentRequest,
  TargetBook,
} from './types';

/** Failures in a row after which a target is avoided. */
const FAILURES_TO_AVOID = 2;

/** First pause for a target that fails, in milliseconds; doubles each time. */
const FIRST_PAUSE = 500;
const LONGEST_PAUSE = 4_000;

/** Targets of which is remembered what they said of themselves. */
const MOST_STATEMENTS = 1_000;

const NOT_IN_HAND: RequestInHand = {
  begun: () => undefined,
  end: () => undefined,
};

/**
 * Creates the book of an entry. Nothing is chosen while `isListUsable` says that
 * what the entry goes by is too old, nor what `maySend` or `placeRules` exclude.
 */
export function createTargetBook(
  self: SendingEntry,
  isListUsable: () => boolean = () => true,
  maySend: PacedSends['maySend'] = () => true,
  placeRules: Partial<PlaceRules> = {},
): TargetBook {
  const {zone} = self;
  const rules = {...NO_PLACE_RULES, ...placeRules};
  const prompts = createPromptTimes();
  let senders: readonly SendingEntry[] = [self];
  const places = new Map<ZoneName, SharePlace>();
  let entries = new Map<string, TargetEntry>();
  const memory = createTargetMemory();
  const saidLeaving = createLifeMemory<true>(MOST_STATEMENTS);
  const backoffEnds = createLifeMemory<MonotonicInstant>(MOST_STATEMENTS);
  const reports = new Map<string, {load: EngineLoad; at: MonotonicInstant}>();

  function list(targets: readonly ListedTarget[], now: MonotonicInstant): void {
    const next = new Map<string, TargetEntry>();
    for (const target of targets) {
      // A restored store may call it ready once more, until it says so again.
      if (target.leaving) noteLeaving(target);
      next.set(target.instance, entryOf(target, now));
    }
    entries = next;
  }

  /** The entry of the newest life that list and reports know of. */
  function entryOf(target: ListedTarget, now: MonotonicInstant): TargetEntry {
    const known = entries.get(target.instance);
    if (known === undefined) return createEntry(newestLife(target));
    if (isFormerLife(target, known.target) && isReported(known, now)) {
      return known;
    }
    if (!isSameLife(known.target, target)) {
      endLife(known);
      return createEntry(target);
    }
    if (known.denied !== saidOf(target)) known.denied = undefined;
    known.target = target;
    return known;
  }

  /**
   * Failure: an engine dies and starts again, and the connections of its former
   * life fall silent; their streams wait for seconds for an event that never
   * comes. Guard: once its new life is known they are told at once. Targets that
   * hold no weights may have begun a request in their new life already.
   */
  function endLife({inHand, target}: TargetEntry): void {
    if (target.held === undefined) return;
    for (const onLifeEnded of [...inHand]) onLifeEnded();
  }

  function report(load: EngineLoad, now: MonotonicInstant): void {
    if (isLate(load, now)) return;
    reports.set(load.address, {load, at: now});
    for (const known of [...entries.values()]) {
      const {target} = known;
      if (target.address !== load.address || isFormerLife(load, target)) {
        continue;
      }
      const hasRestarted = isFormerLife(target, load);
      if (hasRestarted) endLife(known);
      const entry = hasRestarted ? createEntry(newestLife(target)) : known;
      entries.set(target.instance, entry);
      entry.denied = undefined;
      entry.report = load;
      entry.reportedAt = now;
      entry.ownChange = 0;
      entry.share = turnAt(entry.target, load, placeAt(entry.target.zone));
    }
  }

  /** A newer life that has fallen silent has the last word no more. */
  function isLate(load: EngineLoad, now: MonotonicInstant): boolean {
    const before = reports.get(load.address);
    if (before === undefined || now - before.at >= REPORT_LIFE) return false;
    return isFormerLife(load, before.load);
  }

  /** What the list says of a former life holds for the new one no more. */
  function newestLife(target: ListedTarget): ListedTarget {
    const reported = reports.get(target.address)?.load;
    if (reported === undefined || !isFormerLife(target, reported)) {
      return target;
    }
    return {...target, born: reported.born, held: target.held && []};
  }

  function placeAt(targetZone: ZoneName): SharePlace {
    const known = places.get(targetZone);
    if (known !== undefined) return known;
    const place = sharePlace(self, senders, targetZone);
    places.set(targetZone, place);
    return place;
  }

  function setEntries(next: readonly SendingEntry[]): void {
    senders = next;
    places.clear();
  }

  function begin(target: ListedTarget, sent: SentRequest): RequestInHand {
    const entry = entries.get(target.instance);
    if (entry === undefined) return NOT_IN_HAND;
    const {promptTime, onLifeEnded} = sent;
    const freeMemory = memory.begin(entry, sent.memory, sent.at ?? 0);
    prompts.note(target.service, promptTime);
    let unread = promptTime;
    const begun = (): void => {
      entry.unreadPrompts -= unread;
      unread = 0;
    };
    entry.ownInFlight += 1;
    entry.ownChange += 1;
    entry.unreadPrompts += unread;
    entry.inHand.add(onLifeEnded);
    return {
      begun,
      end: () => {
        begun();
        freeMemory();
        entry.inHand.delete(onLifeEnded);
        entry.ownInFlight -= 1;
        entry.ownChange -= 1;
      },
    };
  }

  function noteFailure(target: ListedTarget, now: MonotonicInstant): void {
    const entry = entries.get(target.instance);
    if (entry === undefined) return;
    entry.failures += 1;
    avoidAfterFailures(entry, now);
  }

  function noteRefusedConnection(
    target: ListedTarget,
    now: MonotonicInstant,
  ): void {
    const entry = entries.get(target.instance);
    if (entry === undefined) return;
    entry.failures = Math.max(entry.failures + 1, FAILURES_TO_AVOID);
    avoidAfterFailures(entry, now);
  }

  function avoidAfterFailures(entry: TargetEntry, now: MonotonicInstant): void {
    if (entry.failures < FAILURES_TO_AVOID) return;
    const doublings = entry.failures - FAILURES_TO_AVOID;
    const pause = Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** doublings);
    entry.avoidUntil = now + pause;
  }

  /** Whether this life has said that it leaves, in the list or in an answer. */
  function isLeaving(target: ListedTarget): boolean {
    return saidLeaving.get(target) === true;
  }

  function isStaying(target: ListedTarget): boolean {
    const entry = entries.get(target.instance);
    return entry !== undefined && !isLeaving(entry.target);
  }

  function noteLeaving(target: ListedTarget): boolean {
    if (saidLeaving.get(target) === true) return false;
    saidLeaving.set(target, true);
    return true;
  }

  /** When a target takes requests of this entry again; the past if it does. */
  function backoffEnd(target: ListedTarget): MonotonicInstant {
    return backoffEnds.get(target) ?? -Infinity;
  }

  function mayTake(entry: TargetEntry, need: PlaceNeed): boolean {
    if (backoffEnd(entry.target) > need.now) return false;
    return fits(entry, need, zone, rules);
  }

  function mayStart(target: ListedTarget, need: PlaceNeed): boolean {
    const entry = entries.get(target.instance);
    if (entry === undefined || !isListUsable()) return false;
    return !isLeaving(entry.target) && mayTake(entry, need);
  }

  function hasMemoryFor(entry: TargetEntry, need: PlaceNeed): boolean {
    const place = placeAt(entry.target.zone);
    const isFresh = isReported(entry, need.now);
    return memory.hasRoom(entry, need, place, senders.length, isFresh);
  }

  function choose(need: PlaceNeed): TargetPlace {
    if (areNowhere(need.destinations)) return {kind: 'nowhere'};
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
      moveTurn(entry, placeAt(entry.target.zone), need.now);
    }
    const calm = usable.filter(entry => entry.avoidUntil <= need.now);
    const withRoom = (calm.length > 0 ? calm : usable).filter(
      entry =>
        hasRoom(entry, need.now, senders.length) && hasMemoryFor(entry, need),
    );
    const allowed = withRoom.filter(({target}) => maySend(target, need.now));
    const open = (calm.length > 0 ? calm : usable).filter(
      entry => hasFreePlace(entry, need.now) && maySend(entry.target, need.now),
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
    allowed: readonly TargetEntry[],
    {service, promptTime, now}: PlaceNeed,
  ): readonly TargetEntry[] {
    if (prompts.isShort(service, promptTime)) return allowed;
    const warm = allowed.filter(({target}) => !rules.isCold(target, now));
    return warm.length > 0 ? warm : allowed;
  }

  function createEntry(target: ListedTarget): TargetEntry {
    const reported = reports.get(target.address);
    const isOfFormerLife = reported && isFormerLife(reported.load, target);
    const early = isOfFormerLife === true ? undefined : reported;
    return {
      target,
      inHand: new Set(),
      memory: createOwnMemory(),
      denied: undefined,
      deniedAt: -Infinity,
      ownInFlight: 0,
      unreadPrompts: 0,
      ownChange: 0,
      share:
        early === undefined
          ? NO_TURN
          : turnAt(target, early.load, placeAt(target.zone)),
      report: early?.load,
      reportedAt: early?.at ?? -Infinity,
      failures: 0,
      avoidUntil: -Infinity,
      seen: createSeenPace(),
    };
  }

  return {
    list,
    setEntries,
    report,
    begin,
    isEmptying: (target, now) => {
      const entry = entries.get(target.instance);
      if (entry === undefined || !isReported(entry, now)) return false;
      return entry.report?.ordering === true;
    },
    isStaying,
    noteFailure,
    noteRefusedConnection,
    noteMisdirected(target, now) {
      const entry = entries.get(target.instance);
      if (entry === undefined) return;
      entry.denied = saidOf(entry.target);
      entry.deniedAt = now;
    },
    noteSuccess(target) {
      const entry = entries.get(target.instance);
      if (entry === undefined) return;
      entry.failures = 0;
      entry.avoidUntil = -Infinity;
    },
    noteLeaving,
    noteBackoff: (target, until) => {
      backoffEnds.set(target, Math.max(until, backoffEnd(target)));
    },
    mayStart,
    choose,
    forecast: (target, need) => {
      const entry = entries.get(target.instance);
      return entry && forecastAt(entry, need);
    },
    noteFirstEvent: (target, ratio, now) =>
      entries.get(target.instance)?.seen.record(ratio, now),
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
