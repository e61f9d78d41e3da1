import type {OfferedRate} from './load';

/** Number of entries, engines and zones of a site. */
export interface SiteSize {
  readonly entries: number;
  readonly engines: number;
  readonly zones: number;
}

/** The fault of a case; it lasts until the end. */
export type Fault =
  | {readonly kind: 'none'}
  | {readonly kind: 'slowTarget'; readonly factor: number}
  | {readonly kind: 'frozenTarget'}
  | {readonly kind: 'zoneGone'};

/** A benchmark case: the load, the fault and the delay of reports. */
export interface BenchCase {
  readonly name: string;
  readonly rate: OfferedRate;
  readonly fault: Fault;
  readonly reportDelay: number;
}

/** Requests that arrive earlier only warm up the site. */
export const MEASUREMENT_START_MS = 20_000;
/** When a fault or a flood starts. */
export const FAULT_START_MS = 25_000;
/** When the last request arrives. */
export const LOAD_END_MS = 120_000;

/** Bursts: ten times the mean rate for 3 s of every 60 s. */
const BURST_FACTOR = 10;
const BURST_DURATION_MS = 3_000;
const BURST_PERIOD_MS = 60_000;

/** Mean rate of the burst case, as a share of the peak. */
const BURST_MEAN_RATE = 0.5;

/** A flood is twice as high as a burst: 20 times the workspace's rate. */
const FLOOD_FACTOR = 20;
const FLOODING_RANK = 1;

/** Transit delay of load reports by default and in the case of late reports. */
const DEFAULT_REPORT_DELAY_MS = 100;
const LATE_REPORT_DELAY_MS = 5_000;

const steadyRate: OfferedRate = {
  site: () => 1,
  flood: () => 1,
  floodRank: FLOODING_RANK,
};

/** The rate in and between bursts averages to the mean. */
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

/** Rank of the workspace that floods in the `flood` case. */
export const FLOODING_WORKSPACE_RANK = FLOODING_RANK;
