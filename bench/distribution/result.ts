import type {BenchOptions} from './options';

/** One run's figures. */
export interface BenchResult {
  readonly strategy: string;
  readonly prefer: string;
  readonly fault: string;
  readonly instances: number;
  /** Instances that hold the whole version at the end. */
  readonly replicas: number;
  readonly seconds: number;
  readonly lowerBoundSeconds: number;
  readonly ratio: number;
  readonly originCopies: number;
  readonly p50Seconds: number;
  readonly p99Seconds: number;
  readonly verified: boolean;
  readonly controlBytesPerNodePerSecond: number;
  /** CPU share of the busiest process: 1 is one core in full use. */
  readonly cpuShare: number;
  readonly crossZoneCopies: number;
  /** Requests to other instances per chunk and instance, refused ones too. */
  readonly requestsPerChunk: number;
  readonly neighbours: number;
  readonly chunks: number;
  readonly chunkBytes: number;
  readonly windowSeconds: number;
  readonly shared: number;
  readonly reuse: boolean;
  readonly seed: number;
}

/** Least time in which the links could carry the version to all. */
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

/** The value that `share` of the sorted values do not exceed. */
export function quantile(sorted: readonly number[], share: number): number {
  const place = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, place)] ?? 0;
}

/** Rounds to three digits after the point. */
export function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
