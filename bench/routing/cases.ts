import type {OfferedRate} from './load';

/** Numbers of processes of a site. */
export interface SiteSize {
  readonly entries: number;
  readonly engines: number;
  readonly zones: number;
}

/** What goes wrong, for as long as the case is measured. */
export type Fault =
  | {readonly kind: 'none'}
  | {readonly kind: 'slowTarget'; readonly factor: number}
  | {readonly kind: 'frozenTarget'}
  | {readonly kind: 'zoneGone'};

/** One case: the load, the fault, and how late reports are. */
export interface BenchCase {
  readonly name: string;
  readonly rate: OfferedRate;
  readonly fault: Fault;
  readonly reportDelay: number;
}

/** Requests before this only warm up. */
export const MEASURED_FROM = 20_000;
/** When a fault or a flood starts. */
export const FAULT_AT = 25_000;
/** When the last request arrives. */
export const LOAD_UNTIL = 120_000;

/** The bursts of the brief: ten times the mean, here for 3 s of each 60. */
const BURST_FACTOR = 10;
const BURST_TIME = 3_000;
const BURST_PERIOD = 60_000;

/** Mean of the burst case: half of the peak. */
const BURST_MEAN = 0.5;

/** A flood is twice what bursts explain: 20 times the workspace's rate. */
const FLOOD_FACTOR = 20;
const FLOODING_RANK = 1;

/** Usual delay of a load report on its way, and the late one. */
const USUAL_REPORT_DELAY = 100;
const LATE_REPORT_DELAY = 5_000;

const steadyRate: OfferedRate = {
  site: () => 1,
  flood: () => 1,
  floodRank: FLOODING_RANK,
};

/** All requests in bursts and between them add up to the mean. */
function burstRate(at: number): number {
  const share = BURST_TIME / BURST_PERIOD;
  const between = (1 - share * BURST_FACTOR) / (1 - share);
  const inBurst = (at + BURST_PERIOD / 2) % BURST_PERIOD < BURST_TIME;
  return BURST_MEAN * (inBurst ? BURST_FACTOR : between);
}

const burst: OfferedRate = {...steadyRate, site: burstRate, flood: burstRate};

const flood: OfferedRate = {
  ...steadyRate,
  flood: at => (at < FAULT_AT ? 1 : FLOOD_FACTOR),
};

const usual = {
  rate: steadyRate,
  fault: {kind: 'none'},
  reportDelay: USUAL_REPORT_DELAY,
} as const;

/** The cases of the benchmark, in the order they are printed. */
export const CASES: readonly BenchCase[] = [
  {...usual, name: 'steady'},
  {...usual, name: 'burst', rate: burst},
  {...usual, name: 'slow-target', fault: {kind: 'slowTarget', factor: 10}},
  {...usual, name: 'frozen-target', fault: {kind: 'frozenTarget'}},
  {...usual, name: 'zone-gone', fault: {kind: 'zoneGone'}},
  {...usual, name: 'late-reports', reportDelay: LATE_REPORT_DELAY},
  {...usual, name: 'flood', rate: flood},
];

/** The workspace that floods in the case of that name. */
export const FLOODING_WORKSPACE_RANK = FLOODING_RANK;
