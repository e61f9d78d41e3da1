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
  /** Size of an event that is not complete yet. */
  readonly pendingBytes: () => number;
  /** Bytes of an event that is not complete yet. */
  readonly rest: () => Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Bytes of the longest end of an event but its last one. */
const LONGEST_END = 2;

const ID_FIELD = /^id:[ ]?(.*?)\r?$/m;

/**
 * Creates a splitter. A target may stop in the middle of an event, and a part
 * that was already forwarded could not be joined to another target's events.
 */
export function createEventSplitter(): EventSplitter {
  let parts: readonly Buffer[] = [];
  let pending = 0;
  /** The last bytes, in which the end of the event may begin. */
  let tail: Buffer = Buffer.alloc(0);

  function setRest(next: readonly Buffer[]): void {
    parts = next;
    pending = next.reduce((sum, {length}) => sum + length, 0);
    tail = Buffer.concat(next.slice(-LONGEST_END)).subarray(-LONGEST_END);
  }

  function push(bytes: Buffer): readonly StreamEvent[] {
    // Only what is new is searched, however large the event has become.
    const hasEnd = endOfEvent(Buffer.concat([tail, bytes])) !== undefined;
    if (!hasEnd) {
      parts = [...parts, bytes];
      pending += bytes.length;
      tail = Buffer.concat([tail, bytes]).subarray(-LONGEST_END);
      return [];
    }
    let rest = Buffer.concat([...parts, bytes]);
    const events: StreamEvent[] = [];
    for (;;) {
      const end = endOfEvent(rest);
      if (end === undefined) break;
      const event = rest.subarray(0, end);
      rest = rest.subarray(end);
      events.push({id: idOf(event), bytes: event});
    }
    setRest(rest.length === 0 ? [] : [rest]);
    return events;
  }

  return {push, pendingBytes: () => pending, rest: () => Buffer.concat(parts)};
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
