import type {BenchOptions} from './options';

/** The result of one run. */
export interface BenchResult {
  readonly strategy: string;
  readonly prefer: string;
  readonly fault: string;
  readonly instances: number;
  /** Instances that hold the complete version at the end. */
  readonly replicas: number;
  readonly seconds: number;
  readonly lowerBoundSeconds: number;
  readonly ratio: number;
  readonly originCopies: number;
  readonly p50Seconds: number;
  readonly p99Seconds: number;
  readonly verified: boolean;
  readonly controlBytesPerNodePerSecond: number;
  /** CPU use of the busiest process in cores: 1 is one fully used core. */
  readonly cpuShare: number;
  readonly crossZoneCopies: number;
  /** Requests to other instances per chunk and instance, with refused ones. */
  readonly requestsPerChunk: number;
  readonly neighbours: number;
  readonly chunks: number;
  readonly chunkBytes: number;
  readonly windowSeconds: number;
  readonly shared: number;
  readonly reuse: boolean;
  readonly seed: number;
}

/** Minimum time in which the links can transfer the version to all. */
export function lowerBoundSeconds(options: BenchOptions): number {
  const {instances, windowSeconds} = options;
  const origin = 4 / windowSeconds;
  const link = 2 / windowSeconds;
  return Math.max(
    1 / origin,
    1 / link,
    instances / (origin + instances * link),
  );
}

/** The smallest value that at least `share` of the values do not exceed. */
export function quantile(sorted: readonly number[], share: number): number {
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

/** Rounds to three decimal places. */
export function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
