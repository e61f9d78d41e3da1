import {unreachable} from '../../kernel/flow';
import type {Generation, Milliseconds} from '../../types';
import type {MoveItem} from '../../configuration';
import type {AwaitedProcess, StopEvidence, ProcessReport} from '../types';

/**
 * Min time off the platform's list before an instance counts as stopped. The
 * list lags by seconds.
 */
const MIN_DELISTED_TIME: Milliseconds = 30_000;

/** Allowance for clocks that run at slightly different rates. */
const LEASE_MARGIN: Milliseconds = 2_000;

/** Processes that may still act on a configuration older than `generation`. */
export function findAwaitedProcesses(
  generation: Generation,
  items: readonly MoveItem[],
  reports: readonly ProcessReport[],
): readonly AwaitedProcess[] {
  const awaited = reports
    .map(report => checkReport(report, generation, items))
    .filter(process => process !== undefined);
  const olderSystem = reports.filter(report => report.side === 'older-system');
  const isOlderSystemMissing = olderSystem.length === 0;
  return [
    ...awaited,
    ...findNotQueried(reports),
    ...(isOlderSystemMissing ? [OLDER_SYSTEM_NOT_REPORTED] : []),
  ];
}

const OLDER_SYSTEM_NOT_REPORTED: AwaitedProcess = {
  process: 'older-system',
  reason: 'noWordFromOlderSystem',
};

function checkReport(
  report: ProcessReport,
  generation: Generation,
  items: readonly MoveItem[],
): AwaitedProcess | undefined {
  const {process} = report;
  switch (report.kind) {
    case 'reports':
      // A process that has not adopted the closing generation would still serve
      // on the old side after the new side has opened.
      if (report.generation < generation) return {process, reason: 'behind'};
      if (isBusy(report, items)) return {process, reason: 'busy'};
      return undefined;
    case 'silent':
      // A frozen or partitioned process resumes serving when it wakes up.
      return {process, reason: 'silent'};
    case 'out':
      if (isProvenStopped(report.evidence)) return undefined;
      return {process, reason: 'notSurelyOut'};
    default:
      return unreachable(report);
  }
}

function isBusy(
  report: Extract<ProcessReport, {kind: 'reports'}>,
  items: readonly MoveItem[],
): boolean {
  return items.some(item =>
    item.kind === 'target'
      ? report.busyTargets.includes(item.name)
      : report.busyWorkspaces.includes(item.name),
  );
}

/**
 * Finds processes that others know of but that were not queried. A process that
 * starts during an outage and learns the old generation from a peer is on no
 * list when the move queries all processes. That peer either received its hello
 * before and names it here, or already had the new generation to pass on.
 */
function findNotQueried(
  reports: readonly ProcessReport[],
): readonly AwaitedProcess[] {
  const asked = new Set(reports.map(report => report.process));
  const heardOf = reports.flatMap(report =>
    report.kind === 'reports' ? report.heardOf : [],
  );
  return [...new Set(heardOf)]
    .filter(process => !asked.has(process))
    .map(process => ({process, reason: 'notAsked'}));
}

/**
 * Whether the evidence proves that the process no longer serves or gives
 * orders.
 */
export function isProvenStopped(evidence: StopEvidence): boolean {
  switch (evidence.kind) {
    case 'goodbye':
    case 'declared':
      return true;
    case 'leaseEnded':
      return evidence.since >= LEASE_MARGIN;
    case 'delisted':
      return evidence.since >= MIN_DELISTED_TIME;
    default:
      return unreachable(evidence);
  }
}
