import {
  isSameState,
  type Milliseconds,
  type MonotonicInstant,
} from '@hibiscusbeam/core';
import type {EngineReport, ReportBatch} from '@hibiscusbeam/wire';
import {
  createRowNumbers,
  type NumberedRow,
  type SentRows,
} from './numbered_rows';

/** Differences of pace up to this are not told; placing goes by tenths of it. */
const PACE_TOLERANCE = 0.05;

/** How far the announced moment of a load may move before it is told again. */
const LOAD_TIME_TOLERANCE: Milliseconds = 60;

/** A report with the moment of a load by the clock here. */
interface TimedReport {
  readonly report: EngineReport;
  readonly loadsAt: MonotonicInstant | undefined;
}

/** A report to be passed on, with the one that was told whole. */
export interface RelayedReport {
  readonly baseRow: NumberedRow<TimedReport>;
  readonly report: EngineReport;
  /** Whether the engine serves something else than at the report before. */
  readonly changesState: boolean;
}

/** Takes reports to be passed on. */
export type NumberReport = (
  report: EngineReport,
  now: MonotonicInstant,
) => RelayedReport;

/**
 * Creates the taker of reports that go on to others.
 *
 * Failure: a relay passes each report on whole to each follower, ten times a
 * second. With 45 engines in its zone, 90 in others and 54 followers that is 1.8
 * MB a second, its link is full, and all that it passes on comes late. Guard: of a
 * report whose engine only runs more or fewer requests, 4 bytes in place of 65 go
 * on.
 */
export function createReportNumbers(): NumberReport {
  const numbers = createRowNumbers<TimedReport>(differsOnlyInRunning);
  const newest = new Map<string, EngineReport>();

  return (received, now) => {
    // Names go on with the states of entries, with their age at that moment.
    const report = {...received, namings: []};
    const {loadsInMilliseconds: loadsIn} = report;
    const loadsAt = loadsIn === undefined ? undefined : now + loadsIn;
    const before = newest.get(report.engineAddress);
    newest.set(report.engineAddress, report);
    return {
      report,
      changesState:
        before === undefined || !isSameState(stateOf(before), stateOf(report)),
      baseRow: numbers.assign(report.engineAddress, {report, loadsAt}),
    };
  };
}

function differsOnlyInRunning(before: TimedReport, next: TimedReport): boolean {
  const one = before.report;
  const other = next.report;
  return (
    other.sequence >= one.sequence &&
    other.waiting === one.waiting &&
    Math.abs(other.pace - one.pace) <= PACE_TOLERANCE &&
    isSameLoad(before.loadsAt, next.loadsAt) &&
    isSameState(stateOf(one), stateOf(other))
  );
}

function isSameLoad(
  one: MonotonicInstant | undefined,
  other: MonotonicInstant | undefined,
): boolean {
  if (one === undefined || other === undefined) return one === other;
  return Math.abs(one - other) <= LOAD_TIME_TOLERANCE;
}

function stateOf({loaded, ordering, born}: EngineReport) {
  return {held: loaded, ordering, born};
}

/** Writes reports for one receiver. */
export function writeReports(
  reports: readonly RelayedReport[],
  sentRows: SentRows,
  now: MonotonicInstant,
): ReportBatch {
  const batch: ReportBatch = {
    whole: [],
    numbers: [],
    sequenceSteps: [],
    running: [],
    memoryThousandths: [],
  };
  for (const {baseRow: row, report} of reports) {
    const {number} = row;
    // What was told whole lies back; the steps are counted from there, so that
    // reports that were not passed on in between don't matter.
    if (sentRows.mustSendWhole(row)) {
      batch.whole.push({number, report: withTimeUntilLoad(row.row, now)});
    }
    batch.numbers.push(number);
    batch.sequenceSteps.push(report.sequence - row.row.report.sequence);
    batch.running.push(report.running);
    batch.memoryThousandths.push(toThousandths(report.memoryShare));
  }
  return batch;
}

function toThousandths(share: number | undefined): number {
  return share === undefined ? 0 : 1 + Math.round(share * 1_000);
}

function toShare(thousandths = 0): number | undefined {
  return thousandths === 0 ? undefined : (thousandths - 1) / 1_000;
}

function withTimeUntilLoad(
  {report, loadsAt}: TimedReport,
  now: MonotonicInstant,
): EngineReport {
  const loadsInMilliseconds =
    loadsAt === undefined ? undefined : Math.max(0, Math.round(loadsAt - now));
  return {...report, loadsInMilliseconds};
}

/** Reads the batches of one stream. */
export type ReadReports = (
  batch: ReportBatch,
  now: MonotonicInstant,
) => readonly EngineReport[];

/** Creates the reader of one stream. */
export function createReportReader(): ReadReports {
  const rows = new Map<number, TimedReport>();

  return (batch, now) => {
    for (const {number, report} of batch.whole) {
      if (report === undefined) continue;
      const {loadsInMilliseconds: loadsIn} = report;
      const loadsAt = loadsIn === undefined ? undefined : now + loadsIn;
      rows.set(number, {report, loadsAt});
    }
    return batch.numbers.flatMap((number, index) => {
      const row = rows.get(number);
      if (row === undefined) return [];
      const report = withTimeUntilLoad(row, now);
      return {
        ...report,
        sequence: report.sequence + (batch.sequenceSteps[index] ?? 0),
        running: batch.running[index] ?? report.running,
        memoryShare: toShare(batch.memoryThousandths[index]),
      };
    });
  };
}
