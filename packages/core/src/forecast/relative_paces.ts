/** Share by which paces must differ for engines to count as uneven. */
const MAX_EVEN_SPREAD = 0.1;

/** What is known of the pace of one engine. */
export interface EnginePace {
  /** Engines with the same one are compared with one another. */
  readonly zone: string;
  /** By its agent's word; 1 if there is none that counts. */
  readonly reported: number;
  /** The logarithm of what was seen beside it; 0 if nothing was. */
  readonly logSeen: number;
}

/** The paces of a service's engines. */
export interface RelativePaces {
  /** In the order of the engines. */
  readonly paces: readonly number[];
  /** Whether some engine differs from the usual pace by more than a tenth. */
  readonly isUneven: boolean;
}

/**
 * Combines what agents report with what was seen.
 *
 * Failure: a site is full or the link to a zone is slow, and first events from
 * there come late. Taken for slow engines, all of them are passed over. Guard:
 * what was seen counts only as far as it differs from the median of the zone.
 */
export function relativePaces(engines: readonly EnginePace[]): RelativePaces {
  const medians = new Map<string, number>();
  for (const zone of new Set(engines.map(engine => engine.zone))) {
    const seen = engines.filter(engine => engine.zone === zone);
    medians.set(zone, medianOf(seen.map(({logSeen}) => logSeen)));
  }
  const paces = engines.map(
    ({zone, reported, logSeen}) =>
      usable(reported) * Math.exp(logSeen - (medians.get(zone) ?? 0)),
  );
  const usual = medianOf(paces);
  return {
    paces,
    isUneven: paces.some(pace => Math.abs(pace / usual - 1) > MAX_EVEN_SPREAD),
  };
}

function usable(pace: number): number {
  return Number.isFinite(pace) && pace > 0 ? pace : 1;
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  return (lower + upper) / 2;
}
