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

/** Changes of pace up to this are not sent; placement uses steps of 0.1. */
const PACE_TOLERANCE = 0.05;

/** Changes of a load's start time up to this are not sent. */
const LOAD_TIME_TOLERANCE: Milliseconds = 60;

/** A report with the start time of a load by the local clock. */
interface TimedReport {
  readonly report: EngineReport;
  readonly loadsAt: MonotonicInstant | undefined;
}

/** A report to be relayed, with the one that was sent whole. */
export interface RelayedReport {
  readonly baseRow: NumberedRow<TimedReport>;
  readonly report: EngineReport;
  /** Whether the engine serves something else than in the previous report. */
  readonly changesState: boolean;
}

/** Numbers a report that is to be relayed. */
export type NumberReport = (
  report: EngineReport,
  now: MonotonicInstant,
) => RelayedReport;

/**
 * Creates a function that numbers reports to be relayed.
 *
 * A relay that sends each whole report to each follower ten times a second
 * saturates its link: with 45 engines in its zone, 90 in others and 54
 * followers that is 1.8 MB a second, and everything it relays is late. If an
 * engine only runs more or fewer requests than before, 4 bytes are sent instead
 * of 65.
 */
export function createReportNumbers(): NumberReport {
  const numbers = createRowNumbers<TimedReport>(differsOnlyInRunning);
  const newest = new Map<string, EngineReport>();

  return (received, now) => {
    // Names of versions are relayed with the states of entries, with their age
    // at that time.
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
    // Sequence steps are relative to the report that was sent whole, so that
    // reports which were not relayed in between don't matter.
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

/** Creates a reader for one stream. */
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
