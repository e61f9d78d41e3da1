import {
  FLOODING_WORKSPACE_RANK,
  LOAD_END_MS,
  MEASUREMENT_START_MS,
} from './cases';
import type {LoadRequest} from './load';
import {workspaceName} from './load';
import {DEADLINE_MS, FIRST_TOKEN_GOAL_MS} from './timing';

/** The outcome of one request. Times are milliseconds since the start. */
export interface RequestRecord {
  readonly request: LoadRequest;
  tries: number;
  produced: number;
  firstTokenAt: number | undefined;
  lastTokenAt: number;
  finishedAt: number | undefined;
  refusedAt: number | undefined;
  retryAfter: number | undefined;
}

/** The printed results of one case and policy. */
export interface PolicyFigures {
  readonly goodput: number;
  readonly firstTokenP50Seconds: number;
  readonly firstTokenP95Seconds: number;
  readonly firstTokenP99Seconds: number;
  readonly betweenTokensP95Seconds: number;
  /** Share of the offered requests that were refused. */
  readonly refused: number;
  readonly refusalP99Seconds: number;
  readonly triesPerRequest: number;
  readonly cacheHitShare: number;
  /** Goodput of all workspaces except the one that floods in `flood`. */
  readonly quietWorkspaceGoodput: number;
}

/** Collects the outcomes of all requests of one run. */
export interface Metrics {
  readonly recordOf: (request: LoadRequest) => RequestRecord;
  readonly recordToken: (
    record: RequestRecord,
    produced: number,
    now: number,
  ) => void;
  readonly setCacheCounts: (
    counts: readonly {readonly lookups: number; readonly hits: number}[],
  ) => void;
  readonly figures: () => PolicyFigures;
}

const GAP_BUCKET_MS = 0.25;
const GAP_BUCKET_COUNT = 40_000;

/** Creates empty metrics. */
export function createMetrics(load: readonly LoadRequest[]): Metrics {
  const records = new Map<LoadRequest, RequestRecord>();
  const gaps = new Float64Array(GAP_BUCKET_COUNT);
  let cacheHitShare = 0;
  for (const request of load) {
    records.set(request, {
      request,
      tries: 0,
      produced: 0,
      firstTokenAt: undefined,
      lastTokenAt: 0,
      finishedAt: undefined,
      refusedAt: undefined,
      retryAfter: undefined,
    });
  }

  const recordToken = (
    record: RequestRecord,
    produced: number,
    now: number,
  ): void => {
    if (produced <= record.produced) return;
    if (record.firstTokenAt === undefined) record.firstTokenAt = now;
    else if (isMeasured(record.request)) {
      const bucket = Math.floor((now - record.lastTokenAt) / GAP_BUCKET_MS);
      gaps[Math.min(GAP_BUCKET_COUNT - 1, bucket)]! += 1;
    }
    record.produced = produced;
    record.lastTokenAt = now;
  };

  const figures = (): PolicyFigures => {
    const measured = [...records.values()].filter(r => isMeasured(r.request));
    const firstTokens = sorted(
      measured.map(record =>
        record.firstTokenAt === undefined
          ? undefined
          : record.firstTokenAt - record.request.arriveAt,
      ),
    );
    const refusals = sorted(
      measured.map(record =>
        record.refusedAt === undefined
          ? undefined
          : record.refusedAt - record.request.arriveAt,
      ),
    );
    const tried = measured.filter(record => record.tries > 0);
    const tries = tried.reduce((sum, record) => sum + record.tries, 0);
    const quiet = measured.filter(
      record =>
        record.request.workspace !== workspaceName(FLOODING_WORKSPACE_RANK),
    );
    return {
      goodput: goodputOf(measured),
      firstTokenP50Seconds: seconds(quantile(firstTokens, 0.5)),
      firstTokenP95Seconds: seconds(quantile(firstTokens, 0.95)),
      firstTokenP99Seconds: seconds(quantile(firstTokens, 0.99)),
      betweenTokensP95Seconds: seconds(gapQuantile(gaps, 0.95)),
      refused: refusals.length / measured.length,
      refusalP99Seconds: seconds(quantile(refusals, 0.99)),
      triesPerRequest: tries / Math.max(1, tried.length),
      cacheHitShare,
      quietWorkspaceGoodput: goodputOf(quiet),
    };
  };

  return {
    recordOf: request => records.get(request)!,
    recordToken,
    setCacheCounts: counts => {
      const lookups = counts.reduce((sum, count) => sum + count.lookups, 0);
      const hits = counts.reduce((sum, count) => sum + count.hits, 0);
      cacheHitShare = hits / Math.max(1, lookups);
    },
    figures,
  };
}

function isMeasured(request: LoadRequest): boolean {
  return (
    request.arriveAt >= MEASUREMENT_START_MS && request.arriveAt < LOAD_END_MS
  );
}

/** Share of requests with a timely first token and finished by the deadline. */
function goodputOf(records: readonly RequestRecord[]): number {
  return records.filter(meetsGoals).length / Math.max(1, records.length);
}

function meetsGoals(record: RequestRecord): boolean {
  const {arriveAt} = record.request;
  if (record.firstTokenAt === undefined) return false;
  if (record.finishedAt === undefined) return false;
  if (record.firstTokenAt - arriveAt > FIRST_TOKEN_GOAL_MS) return false;
  return record.finishedAt - arriveAt <= DEADLINE_MS;
}

function sorted(values: readonly (number | undefined)[]): readonly number[] {
  return values
    .filter(value => value !== undefined)
    .sort((left, right) => left - right);
}

function quantile(ascending: readonly number[], share: number): number {
  const position = Math.ceil(share * ascending.length) - 1;
  return ascending[Math.max(0, position)] ?? 0;
}

function gapQuantile(gaps: Float64Array, share: number): number {
  const total = gaps.reduce((sum, count) => sum + count, 0);
  let seen = 0;
  for (let bucket = 0; bucket < gaps.length; bucket += 1) {
    seen += gaps[bucket]!;
    if (seen >= share * total) return (bucket + 1) * GAP_BUCKET_MS;
  }
  return 0;
}

function seconds(milliseconds: number): number {
  return Math.round(milliseconds) / 1_000;
}
