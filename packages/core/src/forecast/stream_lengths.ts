/** Weight of one stream in the means. */
const WEIGHT = 0.1;

/** Complete streams of a route required before a length is expected. */
const MIN_STREAMS = 5;

interface RouteLengths {
  readonly count: number;
  /** Events of a stream without a hint, and their mean deviation. */
  readonly mean: number;
  readonly deviation: number;
  /**
   * Events for each token of a caller's hint; undefined before the first hint.
   */
  readonly eventsPerToken: number | undefined;
}

/** Lengths of the streams of each route, in events. */
export interface StreamLengths {
  /** Records a complete stream; `tokens` is its caller's hint, 0 for none. */
  readonly record: (route: string, events: number, tokens: number) => void;
  /**
   * Events still expected after `passed` ones; undefined until there are enough
   * streams.
   */
  readonly remaining: (
    route: string,
    passed: number,
    tokens: number,
  ) => number | undefined;
}

/**
 * Learns lengths from complete streams.
 *
 * A hint counts tokens, and only the engine knows how many of them make an
 * event. Used as a number of events, or if it is wrong, it makes every stream
 * look late.
 */
export function createStreamLengths(): StreamLengths {
  const routes = new Map<string, RouteLengths>();
  return {
    record: (route, events, tokens) => {
      const lengths = routes.get(route);
      const ratio = tokens > 0 ? events / tokens : undefined;
      routes.set(
        route,
        lengths
          ? updateLengths(lengths, events, ratio)
          : createLengths(events, ratio),
      );
    },
    remaining: (route, passed, tokens) => {
      const known = routes.get(route);
      if (known === undefined || known.count < MIN_STREAMS) return undefined;
      const {mean, deviation, eventsPerToken} = known;
      if (tokens > 0 && eventsPerToken !== undefined) {
        return Math.max(0, tokens * eventsPerToken - passed);
      }
      // A stream past the mean is one of the long ones.
      return Math.max(mean - passed, deviation);
    },
  };
}

function createLengths(
  events: number,
  eventsPerToken: number | undefined,
): RouteLengths {
  return {count: 1, mean: events, deviation: events / 2, eventsPerToken};
}

function updateLengths(
  lengths: RouteLengths,
  events: number,
  ratio: number | undefined,
): RouteLengths {
  const {count, mean, deviation, eventsPerToken} = lengths;
  const before = eventsPerToken ?? ratio;
  return {
    count: count + 1,
    mean: mean + WEIGHT * (events - mean),
    deviation: deviation + WEIGHT * (Math.abs(events - mean) - deviation),
    eventsPerToken:
      before === undefined || ratio === undefined
        ? before
        : before + WEIGHT * (ratio - before),
  };
}
