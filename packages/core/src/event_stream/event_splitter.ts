import {createByteBlocks} from '../received_bytes';
import type {Bytes} from '../types';

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
  readonly pendingBytes: () => Bytes;
  /** Memory of an event that is not complete yet. */
  readonly pendingMemory: () => Bytes;
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
  /** The event that is not complete yet. */
  let pending = createByteBlocks();
  /** Offset in it just after its last line feed, if it has one. */
  let lineStart: Bytes | undefined;
  let lastByte: number | undefined;

  /** Whether the line that ends at an offset of the pending event is empty. */
  function endsEmptyLine(offset: Bytes, byteBefore: number | undefined) {
    if (lineStart === offset) return true;
    return lineStart === offset - 1 && byteBefore === CARRIAGE_RETURN;
  }

  function complete(end: Buffer): StreamEvent {
    const bytes = pending.length() === 0 ? end : takePending(end);
    lineStart = undefined;
    return {id: idOf(bytes), bytes};
  }

  function takePending(end: Buffer): Buffer {
    pending.add(end);
    const bytes = Buffer.concat(pending.take());
    pending = createByteBlocks();
    return bytes;
  }

  // Only what is new is searched, however large the event has become.
  function push(bytes: Buffer): readonly StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    let at = bytes.indexOf(LINE_FEED);
    while (at !== -1) {
      const offset = pending.length() + at - start;
      const byteBefore = at === 0 ? lastByte : bytes[at - 1];
      if (endsEmptyLine(offset, byteBefore)) {
        events.push(complete(bytes.subarray(start, at + 1)));
        start = at + 1;
      } else lineStart = offset + 1;
      at = bytes.indexOf(LINE_FEED, at + 1);
    }
    if (start < bytes.length) pending.add(bytes.subarray(start));
    lastByte = bytes.at(-1) ?? lastByte;
    return events;
  }

  return {
    push,
    pendingBytes: () => pending.length(),
    pendingMemory: () => pending.memory(),
    rest: () => Buffer.concat(pending.take()),
  };
}

function idOf(event: Buffer): string | undefined {
  return ID_FIELD.exec(event.toString('latin1'))?.[1];
}
