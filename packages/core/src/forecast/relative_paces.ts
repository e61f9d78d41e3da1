/** Maximum relative difference between paces of even engines. */
const MAX_EVEN_SPREAD = 0.1;

/** What is known about the pace of one engine. */
export interface EnginePace {
  /** Engines of the same zone are compared with one another. */
  readonly zone: string;
  /** As reported by its agent; 1 if no valid report exists. */
  readonly reported: number;
  /** Logarithm of the additional pace observed here; 0 without observations. */
  readonly logObserved: number;
}

/** The paces of a service's engines. */
export interface RelativePaces {
  /** In the order of the engines. */
  readonly paces: readonly number[];
  /** Whether some engine differs from the typical pace by more than a tenth. */
  readonly isUneven: boolean;
}

/**
 * Combines the reported and the observed paces.
 *
 * Observations count only relative to the zone's median. If a site is full or
 * the link to a zone is slow, first events from there come late; taken for slow
 * engines, all of them would be avoided.
 */
export function relativePaces(engines: readonly EnginePace[]): RelativePaces {
  const medians = new Map<string, number>();
  for (const zone of new Set(engines.map(engine => engine.zone))) {
    const inZone = engines.filter(engine => engine.zone === zone);
    medians.set(zone, medianOf(inZone.map(({logObserved}) => logObserved)));
  }
  const paces = engines.map(
    ({zone, reported, logObserved}) =>
      usablePace(reported) * Math.exp(logObserved - (medians.get(zone) ?? 0)),
  );
  const typical = medianOf(paces);
  return {
    paces,
    isUneven: paces.some(
      pace => Math.abs(pace / typical - 1) > MAX_EVEN_SPREAD,
    ),
  };
}

function usablePace(pace: number): number {
  return Number.isFinite(pace) && pace > 0 ? pace : 1;
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  return (lower + upper) / 2;
}
