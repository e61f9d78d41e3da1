import type {
  Milliseconds,
  ModelName,
  MonotonicInstant,
  ZoneName,
} from '../types';
import {allowance, sharePlace, turnOf, type SharePlace} from './allowance';
import {isFormerLife, isSameLife} from './target_life';
import type {
  EngineLoad,
  HeldModel,
  ListedTarget,
  TargetPlace,
  PlaceNeed,
  RequestInHand,
  SendingEntry,
  SentRequest,
  TargetBook,
} from './types';

/** A report older than this says nothing of the load now, in milliseconds. */
const REPORT_LIFE = 2_000;

/**
 * Load that a target in another zone must be below a near one, as a share of
 * its slots. Bytes between zones cost about 2% of a request's worth, and an
 * eighth of an engine's slots costs its streams about as much in time.
 */
const OTHER_ZONE_LOAD = 0.12;

/** Failures in a row after which a target is avoided. */
const FAILURES_TO_AVOID = 2;

/** First pause for a target that fails, in milliseconds; doubles each time. */
const FIRST_PAUSE = 500;
const LONGEST_PAUSE = 4_000;

/** Lines lapse after three heartbeats of 1.2 s without a sign of life. */
const DENIAL_LIFE = 3_600;

interface TargetEntry {
  target: ListedTarget;
  /** Told when this life ends with their request in hand. */
  readonly inHand: Set<() => void>;
  /** What the list said when the target denied it. */
  denied: string | undefined;
  deniedAt: MonotonicInstant;
  ownInFlight: number;
  /** Time in which it reads the prompts of own requests without a first event. */
  unreadPrompts: Milliseconds;
  /** Own sends less own ends since the last report. */
  ownChange: number;
  /** Slots that this entry may fill until the next report. */
  allowed: number;
  /** Share of the entries whose turn at this engine is before this one's. */
  turn: number;
  report: EngineLoad | undefined;
  reportedAt: MonotonicInstant;
  failures: number;
  avoidUntil: MonotonicInstant;
}

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
const UNREAD_PROMPTS = 400;

/**
 * Weight of another entry's turn at an engine. Failure: all entries of a zone see
 * the same least loaded engine and send to it within one report; three prompts
 * wait for one another while other engines read none. With turns, each prefers
 * another engine.
 */
const TURN_COST = 0.15;

const NOT_IN_HAND: RequestInHand = {
  begun: () => undefined,
  end: () => undefined,
};

/** Creates the book of an entry. */
export function createTargetBook(self: SendingEntry): TargetBook {
  const {zone} = self;
  let senders: readonly SendingEntry[] = [self];
  const places = new Map<ZoneName, SharePlace>();
  let entries = new Map<string, TargetEntry>();
  const reports = new Map<string, {load: EngineLoad; at: MonotonicInstant}>();

  function list(targets: readonly ListedTarget[], now: MonotonicInstant): void {
    const next = new Map<string, TargetEntry>();
    for (const target of targets) {
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
      entry.allowed = allowedAt(entry.target, load);
      entry.turn = turnAt(entry.target, load);
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

  function allowedAt(target: ListedTarget, load: EngineLoad): number {
    const used = load.running + load.waiting;
    return allowance(target.slots - used, placeAt(target.zone), load.sequence);
  }

  function turnAt(target: ListedTarget, load: EngineLoad): number {
    const place = placeAt(target.zone);
    return turnOf(place, load.sequence) / place.count;
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

  function begin(
    target: ListedTarget,
    {promptTime, onLifeEnded}: SentRequest,
  ): RequestInHand {
    const entry = entries.get(target.instance);
    if (entry === undefined) return NOT_IN_HAND;
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
    if (entry.failures < FAILURES_TO_AVOID) return;
    const doublings = entry.failures - FAILURES_TO_AVOID;
    const pause = Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** doublings);
    entry.avoidUntil = now + pause;
  }

  function choose(need: PlaceNeed): TargetPlace {
    const usable = [...entries.values()].filter(entry =>
      fits(entry, need, zone),
    );
    if (usable.length === 0) return {kind: 'none'};
    const calm = usable.filter(entry => entry.avoidUntil <= need.now);
    const withRoom = (calm.length > 0 ? calm : usable).filter(entry =>
      hasRoom(entry, need.now, senders.length),
    );
    let best: TargetEntry | undefined;
    let bestCost = Infinity;
    for (const entry of withRoom) {
      const cost = costOf(entry, need, zone);
      if (cost >= bestCost) continue;
      best = entry;
      bestCost = cost;
    }
    if (best === undefined) return {kind: 'full'};
    return {kind: 'chosen', target: best.target};
  }

  function createEntry(target: ListedTarget): TargetEntry {
    const reported = reports.get(target.address);
    const isOfFormerLife = reported && isFormerLife(reported.load, target);
    const early = isOfFormerLife === true ? undefined : reported;
    return {
      target,
      inHand: new Set(),
      denied: undefined,
      deniedAt: -Infinity,
      ownInFlight: 0,
      unreadPrompts: 0,
      ownChange: 0,
      allowed: early === undefined ? 0 : allowedAt(target, early.load),
      turn: early === undefined ? 0 : turnAt(target, early.load),
      report: early?.load,
      reportedAt: early?.at ?? -Infinity,
      failures: 0,
      avoidUntil: -Infinity,
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
    noteFailure,
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
    mayStart: (target, need) => {
      const entry = entries.get(target.instance);
      return entry !== undefined && fits(entry, need, zone);
    },
    choose,
    heldVersion: (target, model, now) => {
      const entry = entries.get(target.instance);
      return entry && versionHeldBy(entry, model, now);
    },
  };
}

function fits(entry: TargetEntry, need: PlaceNeed, zone: ZoneName): boolean {
  const {target} = entry;
  if (target.service !== need.service || target.leaving) return false;
  if (need.tried.has(target.instance)) return false;
  if (isDenied(entry, need.now)) return false;
  if (need.model === undefined) return true;
  const version = versionHeldBy(entry, need.model, need.now);
  const least =
    entry.target.zone === zone ? need.leastVersion : need.leastFarVersion;
  return version !== undefined && version >= (least ?? 0);
}

function versionHeldBy(
  entry: TargetEntry,
  model: ModelName,
  now: MonotonicInstant,
): number | undefined {
  return heldBy(entry, now)?.find(held => held.model === model)?.version;
}

/** Whether this entry may send one more request to a target. */
function hasRoom(
  entry: TargetEntry,
  now: MonotonicInstant,
  senders: number,
): boolean {
  if (!isReported(entry, now) || entry.report === undefined) {
    return hasRoomUnreported(entry, senders);
  }
  // An engine that loads weights refuses everything until it is done.
  if (entry.report.ordering) return false;
  return entry.ownChange < entry.allowed;
}

/** Without reports, each entry keeps to twice its part of the slots. */
function hasRoomUnreported(entry: TargetEntry, senders: number): boolean {
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
function isDenied(entry: TargetEntry, now: MonotonicInstant): boolean {
  if (entry.denied === undefined || isReported(entry, now)) return false;
  return now - entry.deniedAt < DENIAL_LIFE;
}

/** What a line of the list says that a target may deny. */
function saidOf({address, born, held}: ListedTarget): string {
  return JSON.stringify([address, born, held]);
}

/** The agent's word while it is fresh, the platform's list otherwise. */
function heldBy(
  entry: TargetEntry,
  now: MonotonicInstant,
): readonly HeldModel[] | undefined {
  return isReported(entry, now) ? entry.report?.held : entry.target.held;
}

function isReported(entry: TargetEntry, now: MonotonicInstant): boolean {
  return entry.report !== undefined && now - entry.reportedAt < REPORT_LIFE;
}

/** Requests that a target has now, as far as can be told from here. */
function loadOf(entry: TargetEntry, now: MonotonicInstant): number {
  if (!isReported(entry, now) || entry.report === undefined) {
    return entry.ownInFlight;
  }
  const {running, waiting} = entry.report;
  return Math.max(entry.ownInFlight, running + waiting + entry.ownChange);
}

function costOf(entry: TargetEntry, need: PlaceNeed, zone: ZoneName): number {
  const load = loadOf(entry, need.now) / Math.max(1, entry.target.slots);
  const far = entry.target.zone === zone ? 0 : OTHER_ZONE_LOAD;
  const pace = entry.report?.pace ?? 1;
  const unread = entry.unreadPrompts / UNREAD_PROMPTS;
  const turn = entry.turn * TURN_COST;
  return load * pace + unread + far + turn + loadCost(entry, need);
}

function loadCost({report}: TargetEntry, {expectedRun}: PlaceNeed): number {
  if (report?.loadsIn === undefined) return 0;
  return expectedRun > report.loadsIn ? RUN_INTO_LOAD_COST : 0;
}
