import type {Milliseconds, MonotonicInstant} from '../types';

/** Age of the newest report after which an older sequence counts again. */
const SEQUENCE_TTL: Milliseconds = 2_000;

/** Tells reports that are news from those that came another way before. */
export interface StaleReportFilter {
  /** Whether a report is newer than all before of its engine; notes it if so. */
  readonly accepts: (
    engineAddress: string,
    sequence: number,
    now: MonotonicInstant,
  ) => boolean;
}

/**
 * Creates the order of reports.
 *
 * Failure: two entries take themselves for the relay, and both pass an engine's
 * reports on. The later way brings an old one last, and requests go by it. Guard:
 * only a report with a higher sequence counts. An agent that starts anew with a
 * clock set back is heard again after 2 s.
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
