import type {Milliseconds, MonotonicInstant} from '../types';

/** Age of the newest report after which a lower sequence is accepted again. */
const SEQUENCE_TTL: Milliseconds = 2_000;

/** Drops reports that are older than one received on another path. */
export interface StaleReportFilter {
  /**
   * Whether a report is newer than all previous ones of its engine; records it
   * if so.
   */
  readonly accepts: (
    engineAddress: string,
    sequence: number,
    now: MonotonicInstant,
  ) => boolean;
}

/**
 * Creates a filter.
 *
 * Two entries may both consider themselves the relay and forward an engine's
 * reports. The slower path delivers an old report last, and requests would be
 * placed by it. So only a report with a higher sequence is accepted. An agent
 * that restarts with a clock set back is accepted again after 2 s.
 */
export function createStaleReportFilter(): StaleReportFilter {
  const newest = new Map<string, {sequence: number; at: MonotonicInstant}>();

  return {
    accepts: (engineAddress, sequence, now) => {
      const before = newest.get(engineAddress);
      const isStale =
        before !== undefined &&
        sequence <= before.sequence &&
        now - before.at < SEQUENCE_TTL;
      if (!isStale) newest.set(engineAddress, {sequence, at: now});
      return !isStale;
    },
  };
}
