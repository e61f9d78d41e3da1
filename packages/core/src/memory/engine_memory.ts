import {hash32} from '../utils/hash';
import type {SizeStatistics} from './request_sizes';

/** Share of an engine's memory for requests that is given out. */
const MAX_USED_SHARE = 0.9;

/** Deviations of a sum that are reserved beside its mean. */
const DEVIATIONS = 2;

/**
 * Reports within which a start shows in the reported share: reports are up to
 * 300 ms old where they are used, and come each 100 ms.
 */
const REPORTS_TO_SHOW = 4;

/** Starts that all entries together make at an engine between two reports. */
const STARTS_PER_REPORT = 5;

/** What a request asks of an engine's memory. */
export interface MemoryNeed {
  /** Tokens that the requests of an engine may hold. */
  readonly engineTokens: number;
  /** Tokens that the request will hold at its end at most. */
  readonly tokens: number;
  /** How many of them it writes itself. */
  readonly output: number;
}

/** What an engine said of itself. */
export interface ReportedMemory {
  /** Undefined if the engine doesn't say. */
  readonly share: number | undefined;
  readonly running: number;
  readonly waiting: number;
  readonly sequence: number;
}

/** What is known of an engine's memory. */
export interface EngineMemory {
  readonly slots: number;
  /** The last report; undefined if there is none that says anything still. */
  readonly report: ReportedMemory | undefined;
  /** Whether the report is fresh. */
  readonly isReported: boolean;
  /** Tokens of own sends that the report may not show. */
  readonly ownUnreported: number;
  /** Own sends since the report. */
  readonly ownStarts: number;
  /** Tokens of all own requests in hand. */
  readonly ownTokens: number;
  /** Requests of the service, as this entry has sent them. */
  readonly sizes: SizeStatistics;
  readonly outputs: SizeStatistics;
}

/** This entry's place among those that send to the engine. */
export interface MemoryTurn {
  /** Entries that send to it, this one included. */
  readonly senders: number;
  /** Whether this entry is of the zone, or none of the zone is known. */
  readonly isNear: boolean;
  /** How many entries of its zone come before this one at the last report. */
  readonly before: number;
}

/**
 * Whether an engine has memory for one more request, as far as is known here.
 *
 * Failure: an engine of which the requests outgrow its memory ends, and all of
 * them with it. Its report says what they hold now; they grow, and other entries
 * send to it in the same moment. Guard: what they will hold at their ends stays
 * below 0.9 of it. If less is left than all entries could start before it shows,
 * only the entries start one whose turn it is, few enough for what is left.
 * Without a fresh report, what was left at the last one is shared by the places.
 */
export function hasMemory(
  engine: EngineMemory,
  need: MemoryNeed,
  turn: MemoryTurn,
): boolean {
  const {sizes, slots, report} = engine;
  const most = need.engineTokens * MAX_USED_SHARE;
  const held = heldTokens(engine, need) + engine.ownUnreported;
  const left = most - Math.max(held, engine.ownTokens);
  if (need.tokens > left) return false;
  if (turn.senders <= 1) return true;
  if (!engine.isReported || report === undefined) {
    return need.tokens <= left / Math.max(1, slots);
  }
  const unseenStarts = Math.min(slots, STARTS_PER_REPORT * REPORTS_TO_SHOW);
  if (need.tokens + sumOf(unseenStarts, sizes) <= left) return true;
  if (!turn.isNear || engine.ownStarts > 0) return false;
  const typical = Math.max(need.tokens, sizes.mean + sizes.deviation);
  return turn.before < startsNow(left / typical, report.sequence);
}

/** Starts that fit what is left, dealt out over the reports that don't show them. */
function startsNow(fitting: number, sequence: number): number {
  const starts = Math.floor(fitting) / REPORTS_TO_SHOW;
  const whole = Math.floor(starts);
  const draw = hash32(`memory ${sequence}`) / 2 ** 32;
  return whole + (draw < starts - whole ? 1 : 0);
}

/** Tokens that the requests of the last report will hold at their ends. */
function heldTokens(
  {report, sizes, outputs}: EngineMemory,
  {engineTokens}: MemoryNeed,
): number {
  if (report === undefined) return 0;
  const {share, running, waiting} = report;
  const toCome = sumOf(waiting, sizes);
  if (share === undefined) return sumOf(running, sizes) + toCome;
  return share * engineTokens + sumOf(running, outputs) + toCome;
}

/** Most that so many requests hold together, but for rare cases. */
function sumOf(count: number, {mean, deviation}: SizeStatistics): number {
  return count * mean + DEVIATIONS * Math.sqrt(count) * deviation;
}
