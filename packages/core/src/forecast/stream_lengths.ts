/** Weight of one stream in the means. */
const WEIGHT = 0.1;

/** Whole streams of a route that are seen before any length is expected. */
const MIN_STREAMS = 5;

interface Seen {
  readonly count: number;
  /** Events of a stream without a hint, and their mean deviation. */
  readonly mean: number;
  readonly deviation: number;
  /** Events for each token of a caller's hint; undefined before one was seen. */
  readonly eventsPerToken: number | undefined;
}

/** How long the streams of each route are, in events. */
export interface StreamLengths {
  /** Notes a whole stream; `tokens` is its caller's hint, 0 for none. */
  readonly record: (route: string, events: number, tokens: number) => void;
  /** Events still expected after so many; undefined until enough were seen. */
  readonly remaining: (
    route: string,
    passed: number,
    tokens: number,
  ) => number | undefined;
}

/**
 * Learns lengths from whole streams.
 *
 * Failure: a hint counts tokens, and how many of them make an event is known to
 * the engines alone. Taken for events, or wrong, it makes each stream look late.
 */
export function createStreamLengths(): StreamLengths {
  const routes = new Map<string, Seen>();
  return {
    record: (route, events, tokens) => {
      const seen = routes.get(route);
      const ratio = tokens > 0 ? events / tokens : undefined;
      routes.set(
        route,
        seen ? move(seen, events, ratio) : first(events, ratio),
      );
    },
    remaining: (route, passed, tokens) => {
      const seen = routes.get(route);
      if (seen === undefined || seen.count < MIN_STREAMS) return undefined;
      const {mean, deviation, eventsPerToken} = seen;
      if (tokens > 0 && eventsPerToken !== undefined) {
        return Math.max(0, tokens * eventsPerToken - passed);
      }
      // Who is past the mean belongs to the long ones.
      return Math.max(mean - passed, deviation);
    },
  };
}

function first(events: number, eventsPerToken: number | undefined): Seen {
  return {count: 1, mean: events, deviation: events / 2, eventsPerToken};
}

function move(seen: Seen, events: number, ratio: number | undefined): Seen {
  const {count, mean, deviation, eventsPerToken} = seen;
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
