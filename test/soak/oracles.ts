import type {EngineRun, HostEngine} from '../fleet/fixtures/host_engine';

/** Time in which all entries know what one of them has seen. */
const CONTACT = 3_000;

/** Sends of a request that ends its targets, allowed after that. */
const MOST_LATE_SENDS = 3;

const LIMIT_WINDOW = 4_000;
const SECOND = 1_000;

/** What a caller saw of one attempt. */
export interface CallerRecord {
  readonly requestId: string;
  /** The entry that was asked, by number. */
  readonly entry: number;
  readonly path: string;
  /** Undefined if no whole answer came. */
  readonly status: number | undefined;
  readonly text: string;
}

/** A span in which a target named a limit. */
export interface LimitSpan {
  readonly engine: HostEngine;
  readonly rate: number;
  readonly from: number;
  readonly until: number;
}

/** What a soak has recorded. */
export interface SoakRecords {
  readonly callers: readonly CallerRecord[];
  readonly engines: readonly HostEngine[];
  readonly limits: readonly LimitSpan[];
  /** Body of the request under which targets end. */
  readonly crashing: string;
  /** Whether an entry was not stopped, killed or frozen in a span. */
  readonly isCalm: (entry: number, from: number, until: number) => boolean;
}

/** Checks all promises; returns what is broken. */
export function brokenPromises(records: SoakRecords): readonly string[] {
  return [
    ...unsafeRunTwice(records),
    ...refusedAndRun(records),
    ...notWhole(records),
    ...crashingSends(records),
    ...exceededLimits(records),
  ];
}

function runsOf({engines}: SoakRecords, requestId: string) {
  return engines.flatMap(engine =>
    engine.runs
      .filter(run => run.requestId === requestId)
      .map(({begunAt}) => ({engine, begunAt})),
  );
}

function unsafeRunTwice(records: SoakRecords): readonly string[] {
  return records.callers
    .filter(({path}) => path.startsWith('/unsafe/'))
    .filter(({requestId}) => runsOf(records, requestId).length > 1)
    .map(({requestId}) => `unsafe request ${requestId} ran twice`);
}

function refusedAndRun(records: SoakRecords): readonly string[] {
  return records.callers
    .filter(({status}) => status === 503)
    .filter(({requestId}) => runsOf(records, requestId).length > 0)
    .map(({requestId}) => `request ${requestId} was called not run, and ran`);
}

function notWhole(records: SoakRecords): readonly string[] {
  return records.callers
    .filter(({status}) => status === 200)
    .filter(({requestId, path, text}) => {
      const ran = runsOf(records, requestId);
      if (path.startsWith('/stream/')) return !isWholeStream(text);
      return !ran.some(({engine}) => text === `done by ${engine.instance}`);
    })
    .map(({requestId, text}) => `answer of ${requestId} is not whole: ${text}`);
}

function isWholeStream(text: string): boolean {
  const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(match =>
    Number(match[1]),
  );
  return ids.length > 0 && ids.every((id, index) => id === index + 1);
}

function crashingSends(records: SoakRecords): readonly string[] {
  const sends = records.engines
    .flatMap(({runs}) => runs)
    .filter(({body}) => body === records.crashing)
    .sort((one, other) => one.begunAt - other.begunAt);
  const third = sends[2];
  if (third === undefined) return [];
  const late = sends
    .filter(({begunAt}) => begunAt > third.begunAt + CONTACT)
    .filter(run => isByCalmEntry(records, run));
  return late.length > MOST_LATE_SENDS
    ? [`a request that ends targets was sent ${late.length} times more`]
    : [];
}

function exceededLimits(records: SoakRecords): readonly string[] {
  return records.limits.flatMap(({engine, rate, from, until}) => {
    const most = (1.5 * rate * LIMIT_WINDOW) / SECOND + 5;
    const times = engine.runs
      .filter(({begunAt}) => begunAt >= from + CONTACT && begunAt < until)
      .filter(run => isByCalmEntry(records, run))
      .map(({begunAt}) => begunAt);
    return times.flatMap(first => {
      const last = first + LIMIT_WINDOW;
      const count = times.filter(at => at >= first && at < last).length;
      if (count <= most) return [];
      return [`${engine.instance} got ${count} requests, ${most} allowed`];
    });
  });
}

/** Whether the entry that sent a run was left alone long enough before it. */
function isByCalmEntry(
  {callers, isCalm}: SoakRecords,
  {requestId, begunAt}: EngineRun,
): boolean {
  const caller = callers.find(record => record.requestId === requestId);
  if (caller === undefined) return false;
  return isCalm(caller.entry, begunAt - CONTACT, begunAt);
}
