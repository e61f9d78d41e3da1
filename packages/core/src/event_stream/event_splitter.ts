/** One complete event of a stream of server-sent events, byte for byte. */
export interface StreamEvent {
  /** The event's `id` field; undefined if it has none. */
  readonly id: string | undefined;
  /** All bytes of the event, with the empty line that ends it. */
  readonly bytes: Buffer;
}

/** Splits a stream's bytes into complete events. */
export interface EventSplitter {
  /** Adds received bytes; returns the events that are now complete. */
  readonly push: (bytes: Buffer) => readonly StreamEvent[];
  /** Bytes of an event that is not complete yet. */
  readonly rest: () => Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id:[ ]?(.*?)\r?$/m;

/**
 * Creates a splitter. A target may stop in the middle of an event, and a part
 * that was already forwarded could not be joined to another target's events.
 */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);

  function push(bytes: Buffer): readonly StreamEvent[] {
    rest = rest.length === 0 ? bytes : Buffer.concat([rest, bytes]);
    const events: StreamEvent[] = [];
    for (;;) {
      const end = endOfEvent(rest);
      if (end === undefined) return events;
      const event = rest.subarray(0, end);
      rest = rest.subarray(end);
      events.push({id: idOf(event), bytes: event});
    }
  }

  return {push, rest: () => rest};
}

/** Offset just after the first empty line, if there is one. */
function endOfEvent(bytes: Buffer): number | undefined {
  let lineFeed = bytes.indexOf(LINE_FEED);
  while (lineFeed !== -1) {
    const next = bytes[lineFeed + 1];
    if (next === LINE_FEED) return lineFeed + 2;
    if (next === CARRIAGE_RETURN && bytes[lineFeed + 2] === LINE_FEED) {
      return lineFeed + 3;
    }
    lineFeed = bytes.indexOf(LINE_FEED, lineFeed + 1);
  }
  return undefined;
}

function idOf(event: Buffer): string | undefined {
  return ID_FIELD.exec(event.toString('latin1'))?.[1];
}
