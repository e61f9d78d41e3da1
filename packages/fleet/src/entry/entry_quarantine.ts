import {
  createQuarantine,
  type Quarantine,
  type Verdict,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import type {FailurePause} from '../link/failure_pause';
import type {QuarantineTable} from '../ports';
import {createCrashMonitor, type CrashMonitor} from './crash_monitor';
import type {FleetMetrics} from './fleet_metrics';
import {createQuarantineStore, type QuarantineStore} from './quarantine_store';
import {
  createQuarantineTrials,
  type QuarantineTrials,
} from './quarantine_trials';

/** Dependencies of an entry's quarantine. */
export interface EntryQuarantineOptions {
  readonly table: QuarantineTable;
  /** Identifies the incarnation of this process. */
  readonly holder: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Pick<FleetMetrics, 'setQuarantined'>;
  readonly failurePause: FailurePause;
  /** Called when this entry has learned something that other entries need. */
  readonly onChange: () => void;
}

/**
 * Quarantine of requests and prompt parts that crash targets, with its storage,
 * trials and crash detection.
 */
export interface EntryQuarantine {
  readonly quarantine: Quarantine;
  readonly quarantineStore: QuarantineStore;
  readonly trials: QuarantineTrials;
  readonly crashMonitor: CrashMonitor;
}

/** Connects the parts that work on one quarantine. */
export function createEntryQuarantine(
  options: EntryQuarantineOptions,
): EntryQuarantine {
  const {table, holder, clock, log, metrics} = options;
  const quarantine = createQuarantine({onVerdict: takeVerdict});
  const trials = createQuarantineTrials({table, holder, clock, log});
  const quarantineStore = createQuarantineStore({
    table,
    quarantine,
    onRestore: trials.reclaim,
    failurePause: options.failurePause,
    log,
  });
  const crashMonitor = createCrashMonitor({
    quarantine,
    clock,
    log,
    onChange: options.onChange,
  });

  function takeVerdict({suspect, isQuarantined, origin}: Verdict): void {
    log.warn(isQuarantined ? 'quarantined' : 'released from quarantine', {
      suspect,
      origin,
    });
    metrics.setQuarantined(quarantine.size());
    if (!isQuarantined) trials.forget(suspect);
    if (origin === 'observed') quarantineStore.update(suspect);
  }

  return {
    quarantine,
    quarantineStore,
    trials,
    crashMonitor,
  };
}
