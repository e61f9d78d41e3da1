import {hash32} from '@hibiscusbeam/core';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {SiteSize} from './cases';

/** A request of the load, the same for every policy. */
export interface LoadRequest {
  readonly number: number;
  readonly workspace: string;
  readonly arriveAt: number;
  /** Number of the caller; a caller uses the same entry for a while. */
  readonly caller: number;
  readonly prefix: number;
  readonly prefixTokens: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Peak load: 1,900 requests/s over 600 engines. */
export const PEAK_PER_ENGINE = 1_900 / 600;

/** At peak load: 840,000 tokens/s over 1,900 requests/s. */
export const MEAN_OUTPUT_TOKENS = 840_000 / 1_900;
const MAX_OUTPUT_TOKENS = 1_500;

/** Sigma of the log-normal distribution of answer lengths. */
const OUTPUT_SPREAD = 0.6;

/** Share of the requests of each workspace: ten workspaces, a few large. */
export const WORKSPACE_SHARES: readonly number[] = [
  0.3, 0.2, 0.12, 0.1, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02,
];

/** Prompt templates of a workspace; the k-th is used with weight 1/k. */
const TEMPLATES_PER_WORKSPACE = 12;

/** Token counts of a template and of the text that a caller appends. */
const TEMPLATE_TOKENS = {min: 300, max: 900};
const CALLER_TOKENS = {min: 50, max: 450};

/** Number of callers; each one selects a new entry periodically. */
const CALLERS = 200;

/** Name of a workspace by its rank in size. */
export function workspaceName(rank: number): string {
  return `workspace-${rank}`;
}

/** Request rate over time: for the site, and for one flooding workspace. */
export interface OfferedRate {
  /** Multiple of the peak. */
  readonly site: (at: number) => number;
  /** Multiple of the workspace's usual rate. */
  readonly flood: (at: number) => number;
  readonly floodRank: number;
}

/** Random numbers in [0, 1) from a seed. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

/** Generates requests with Poisson arrivals over `duration` milliseconds. */
export function createLoad(
  seed: number,
  size: SiteSize,
  rate: OfferedRate,
  duration: number,
): readonly LoadRequest[] {
  const random = createRandom(seed);
  const requests: LoadRequest[] = [];
  const peak = (PEAK_PER_ENGINE * size.engines) / 1_000;
  WORKSPACE_SHARES.forEach((share, rank) => {
    const flooding = rank === rate.floodRank;
    const rateAt = (at: number): number =>
      peak * share * (flooding ? rate.flood(at) : rate.site(at));
    for (const at of poissonArrivals(random, rateAt, duration)) {
      requests.push(createRequest(random, rank, at, requests.length));
    }
  });
  return requests.sort((left, right) => left.arriveAt - right.arriveAt);
}

/** Draws arrivals with a varying rate, in steps of 10 ms. */
function poissonArrivals(
  random: () => number,
  rateAt: (at: number) => number,
  duration: number,
): readonly number[] {
  const arrivals: number[] = [];
  const step = 10;
  for (let at = 0; at < duration; at += step) {
    const expected = rateAt(at) * step;
    let product = random();
    while (product > Math.exp(-expected)) {
      arrivals.push(at + random() * step);
      product *= random();
    }
  }
  return arrivals;
}

function createRequest(
  random: () => number,
  rank: number,
  arriveAt: number,
  number: number,
): LoadRequest {
  const template = drawTemplate(random);
  const prefix = hash32(`${workspaceName(rank)}/${template}`);
  const spread = TEMPLATE_TOKENS.max - TEMPLATE_TOKENS.min;
  const prefixTokens = TEMPLATE_TOKENS.min + (prefix % spread);
  const callerTokens =
    CALLER_TOKENS.min +
    Math.floor(random() * (CALLER_TOKENS.max - CALLER_TOKENS.min));
  return {
    number,
    workspace: workspaceName(rank),
    arriveAt,
    caller: Math.floor(random() * CALLERS),
    prefix,
    prefixTokens,
    promptTokens: prefixTokens + callerTokens,
    outputTokens: drawOutputTokens(random),
  };
}

function drawTemplate(random: () => number): number {
  let total = 0;
  for (let k = 1; k <= TEMPLATES_PER_WORKSPACE; k += 1) total += 1 / k;
  let left = random() * total;
  for (let k = 1; k < TEMPLATES_PER_WORKSPACE; k += 1) {
    left -= 1 / k;
    if (left < 0) return k;
  }
  return TEMPLATES_PER_WORKSPACE;
}

function drawOutputTokens(random: () => number): number {
  const angle = 2 * Math.PI * random();
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  const normal = radius * Math.cos(angle);
  const median = MEAN_OUTPUT_TOKENS / Math.exp(OUTPUT_SPREAD ** 2 / 2);
  const drawn = Math.round(median * Math.exp(OUTPUT_SPREAD * normal));
  return Math.min(MAX_OUTPUT_TOKENS, Math.max(1, drawn));
}
