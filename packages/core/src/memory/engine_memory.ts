import {hash32} from '../utils/hash';
import type {SizeStatistics} from './request_sizes';

/** Share of an engine's request memory that is assigned to requests. */
const MAX_USED_SHARE = 0.9;

/** Deviations of a sum that are reserved in addition to its mean. */
const DEVIATIONS = 2;

/**
 * Reports after which a start appears in the reported share: reports are up to
 * 300 ms old when they are used and come every 100 ms.
 */
const REPORTS_TO_SHOW = 4;

/** Starts that all entries together make at an engine between two reports. */
const STARTS_PER_REPORT = 5;

/** Memory that a request needs on an engine. */
export interface MemoryNeed {
  /** Tokens that an engine's requests may hold. */
  readonly engineTokens: number;
  /** Maximum number of tokens that the request will hold at its end. */
  readonly tokens: number;
  /** How many of them it generates itself. */
  readonly output: number;
}

/** An engine's memory as reported. */
export interface ReportedMemory {
  /** Undefined if the engine doesn't report it. */
  readonly share: number | undefined;
  readonly running: number;
  readonly waiting: number;
  readonly sequence: number;
}

/** What is known about an engine's memory. */
export interface EngineMemory {
  readonly slots: number;
  /** The last report; undefined if no usable one exists. */
  readonly report: ReportedMemory | undefined;
  /** Whether the report is fresh. */
  readonly isReported: boolean;
  /** Tokens of this entry's sends that the report may not include. */
  readonly ownUnreported: number;
  /** This entry's sends since the report. */
  readonly ownStarts: number;
  /** Tokens of all of this entry's requests in flight. */
  readonly ownTokens: number;
  /** Sizes of the service's requests, as this entry has sent them. */
  readonly sizes: SizeStatistics;
  readonly outputs: SizeStatistics;
}

/** This entry's turn among the entries that send to the engine. */
export interface MemoryTurn {
  /** Entries that send to it, including this one. */
  readonly senders: number;
  /**
   * Whether this entry is in the engine's zone, or no entry of that zone is
   * known.
   */
  readonly isNear: boolean;
  /**
   * Number of entries of its zone that come before this one at the last report.
   */
  readonly before: number;
}

/**
 * Whether an engine has memory for one more request, as far as is known here.
 *
 * An engine whose requests outgrow its memory terminates, and all of its
 * requests with it. Its report shows what the requests hold now, but they grow,
 * and other entries send to it at the same time. Therefore the memory that they
 * will hold at their ends stays below 0.9 of the total. If less is left than
 * all entries could start before it shows, only those whose turn it is start
 * one, few enough for what is left. Without a fresh report, the memory left at
 * the last one is divided by the slots.
 */
export function hasMemory(
  engine: EngineMemory,
  need: MemoryNeed,
  turn: MemoryTurn,
): boolean {
  const {sizes, slots, report} = engine;
  const usable = need.engineTokens * MAX_USED_SHARE;
  const held = heldTokens(engine, need) + engine.ownUnreported;
  const left = usable - Math.max(held, engine.ownTokens);
  if (need.tokens > left) return false;
  if (turn.senders <= 1) return true;
  if (!engine.isReported || report === undefined) {
    return need.tokens <= left / Math.max(1, slots);
  }
  const unreportedStarts = Math.min(slots, STARTS_PER_REPORT * REPORTS_TO_SHOW);
  if (need.tokens + sumOf(unreportedStarts, sizes) <= left) return true;
  if (!turn.isNear || engine.ownStarts > 0) return false;
  const typical = Math.max(need.tokens, sizes.mean + sizes.deviation);
  return turn.before < startsNow(left / typical, report.sequence);
}

/**
 * Returns the starts that fit now, distributed over the reports that don't show
 * them.
 */
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
  const waitingTokens = sumOf(waiting, sizes);
  if (share === undefined) return sumOf(running, sizes) + waitingTokens;
  return share * engineTokens + sumOf(running, outputs) + waitingTokens;
}

/**
 * Upper bound of what this many requests hold together, except in rare cases.
 */
function sumOf(count: number, {mean, deviation}: SizeStatistics): number {
  return count * mean + DEVIATIONS * Math.sqrt(count) * deviation;
}
