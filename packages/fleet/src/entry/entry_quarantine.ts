import {
  createQuarantine,
  unreachable,
  type Quarantine,
  type Suspect,
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
  /** Differs between entries; from 0 to below 1. */
  readonly spread: number;
  /** Called when this entry has learned something that other entries need. */
  readonly onChange: () => void;
  /** Called once the stored suspects have been read. */
  readonly onKnown: () => void;
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
  /** Calls `listener` for each suspect that is quarantined, until stopped. */
  readonly onQuarantined: (listener: (suspect: Suspect) => void) => () => void;
}

/** Connects the parts that work on one quarantine. */
export function createEntryQuarantine(
  options: EntryQuarantineOptions,
): EntryQuarantine {
  const {table, holder, clock, log, metrics} = options;
  const listeners = new Set<(suspect: Suspect) => void>();
  const quarantine = createQuarantine({onVerdict: takeVerdict});
  const trials = createQuarantineTrials({table, holder, clock, log});
  const quarantineStore = createQuarantineStore({
    table,
    quarantine,
    onRestore: trials.reclaim,
    onKnown: options.onKnown,
    failurePause: options.failurePause,
    log,
    spread: options.spread,
  });
  const crashMonitor = createCrashMonitor({
    quarantine,
    clock,
    log,
    onChange: options.onChange,
  });

  function takeVerdict(verdict: Verdict): void {
    const {suspect, isQuarantined, origin} = verdict;
    log.warn(isQuarantined ? 'quarantined' : 'released from quarantine', {
      suspect,
      origin,
    });
    metrics.setQuarantined(quarantine.size());
    if (isQuarantined) for (const listener of listeners) listener(suspect);
    else trials.forget(suspect);
    storeVerdict(verdict);
  }

  /** Each change is observed by one entry, which may fail before it is stored. */
  function storeVerdict({suspect, origin}: Verdict): void {
    switch (origin) {
      case 'observed':
        return quarantineStore.update(suspect);
      case 'relayed':
        return quarantineStore.updateLater(suspect);
      case 'stored':
        return;
      default:
        return unreachable(origin);
    }
  }

  return {
    quarantine,
    quarantineStore,
    trials,
    crashMonitor,
    onQuarantined: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
