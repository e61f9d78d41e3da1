import {unreachable} from '../../kernel/flow';
import type {Generation, Milliseconds} from '../../types';
import type {MoveItem} from '../../configuration';
import type {AwaitedProcess, StopEvidence, ProcessReport} from '../types';

/** A list that lags by seconds must have said "gone" for so long. */
const MIN_DELISTED_TIME: Milliseconds = 30_000;

/** Allowance for clocks that run at slightly different rates. */
const LEASE_MARGIN: Milliseconds = 2_000;

/** Processes that may still act on a configuration before `generation`. */
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
      // Failure: a process that has not adopted the closing generation still
      // serves on the old side after the new side has opened.
      if (report.generation < generation) return {process, reason: 'behind'};
      if (isBusy(report, items)) return {process, reason: 'busy'};
      return undefined;
    case 'silent':
      // Failure: a frozen or cut off process goes on serving when it wakes.
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
 * Failure: a process starts during an outage, learns the old generation from a
 * peer, and is on no list when the move asks. That peer has heard its hello
 * before, so it names it here, or it had the new generation to tell by then.
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

/** Whether the evidence excludes that the process still serves or orders. */
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
