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
export const MEASUREMENT_START_MS = 20_000;
/** When a fault or a flood starts. */
export const FAULT_START_MS = 25_000;
/** When the last request arrives. */
export const LOAD_END_MS = 120_000;

/** The bursts of the brief: ten times the mean, here for 3 s of each 60. */
const BURST_FACTOR = 10;
const BURST_DURATION_MS = 3_000;
const BURST_PERIOD_MS = 60_000;

/** Mean of the burst case: half of the peak. */
const BURST_MEAN_RATE = 0.5;

/** A flood is twice what bursts explain: 20 times the workspace's rate. */
const FLOOD_FACTOR = 20;
const FLOODING_RANK = 1;

/** Usual delay of a load report on its way, and the late one. */
const DEFAULT_REPORT_DELAY_MS = 100;
const LATE_REPORT_DELAY_MS = 5_000;

const steadyRate: OfferedRate = {
  site: () => 1,
  flood: () => 1,
  floodRank: FLOODING_RANK,
};

/** All requests in bursts and between them add up to the mean. */
function burstRate(at: number): number {
  const share = BURST_DURATION_MS / BURST_PERIOD_MS;
  const between = (1 - share * BURST_FACTOR) / (1 - share);
  const inBurst =
    (at + BURST_PERIOD_MS / 2) % BURST_PERIOD_MS < BURST_DURATION_MS;
  return BURST_MEAN_RATE * (inBurst ? BURST_FACTOR : between);
}

const burst: OfferedRate = {...steadyRate, site: burstRate, flood: burstRate};

const flood: OfferedRate = {
  ...steadyRate,
  flood: at => (at < FAULT_START_MS ? 1 : FLOOD_FACTOR),
};

const defaults = {
  rate: steadyRate,
  fault: {kind: 'none'},
  reportDelay: DEFAULT_REPORT_DELAY_MS,
} as const;

/** The cases of the benchmark, in the order they are printed. */
export const CASES: readonly BenchCase[] = [
  {...defaults, name: 'steady'},
  {...defaults, name: 'burst', rate: burst},
  {...defaults, name: 'slow-target', fault: {kind: 'slowTarget', factor: 10}},
  {...defaults, name: 'frozen-target', fault: {kind: 'frozenTarget'}},
  {...defaults, name: 'zone-gone', fault: {kind: 'zoneGone'}},
  {...defaults, name: 'late-reports', reportDelay: LATE_REPORT_DELAY_MS},
  {...defaults, name: 'flood', rate: flood},
];

/** The workspace that floods in the case of that name. */
export const FLOODING_WORKSPACE_RANK = FLOODING_RANK;
