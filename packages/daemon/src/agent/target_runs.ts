import type {AttemptId, Milliseconds, VersionDigest} from '@hibiscusbeam/core';
import type {
  EngineClient,
  EngineFrame,
  GenerateWork,
  PlainServiceAnswer,
  PlainServiceClient,
  TargetError,
} from '../targets/types';
import {createAnswerMatcher} from './answer_matcher';

/** Events held for a slow reader before the target is held back. */
const HELD_EVENTS = 64;

/** What happens to one attempt at the target. */
export type RunEvent =
  | {readonly kind: 'started'; readonly versionDigest: VersionDigest}
  | {
      readonly kind: 'data';
      readonly sequence: number;
      readonly content: Uint8Array;
    }
  | {readonly kind: 'end'; readonly count: number}
  /** The target has started nothing. */
  | {readonly kind: 'notStarted'; readonly detail: string}
  /** The target may have started it; there is no whole answer. */
  | {readonly kind: 'broken'; readonly detail: string};

/** One attempt at the target. */
export interface TargetRun {
  /** Events until `end`, `notStarted` or `broken`, which is the last. */
  readonly events: AsyncIterable<RunEvent>;
  /** Stops the work; the events end as `broken`. */
  readonly cancel: () => void;
}

/** A queue between whoever delivers events and the one that reads them. */
interface EventQueue {
  readonly push: (event: RunEvent) => void;
  /** Undefined while there is room, else resolves once there is. */
  readonly room: () => Promise<void> | undefined;
  readonly events: AsyncIterable<RunEvent>;
}

function createEventQueue(): EventQueue {
  const held: RunEvent[] = [];
  let wake: (() => void) | undefined;
  let roomFound: (() => void) | undefined;
  async function* read(): AsyncIterable<RunEvent> {
    for (;;) {
      const event = held.shift();
      if (event === undefined) {
        await new Promise<void>(resolve => (wake = resolve));
        continue;
      }
      if (held.length < HELD_EVENTS) roomFound?.();
      yield event;
      if (isLast(event)) return;
    }
  }
  return {
    push: event => {
      held.push(event);
      const resolve = wake;
      wake = undefined;
      resolve?.();
    },
    room: () =>
      held.length < HELD_EVENTS
        ? undefined
        : new Promise(resolve => (roomFound = resolve)),
    events: read(),
  };
}

function isLast(event: RunEvent): boolean {
  return event.kind !== 'started' && event.kind !== 'data';
}

/** Runs attempts on a model engine. */
export interface EngineRuns {
  readonly run: (work: GenerateWork, timeout: Milliseconds) => TargetRun;
}

/** Creates the runs of one model engine. */
export function createEngineRuns(engine: EngineClient): EngineRuns {
  const matcher = createAnswerMatcher<EngineFrame>();
  return {
    run: (work, timeout) => {
      const {attempt} = work;
      const queue = createEventQueue();
      const abort = new AbortController();
      let over = false;
      const push = (event: RunEvent): void => {
        if (over) return;
        over = isLast(event);
        if (over) stop();
        queue.push(event);
      };
      const forget = matcher.expect(attempt, frame => push(eventOf(frame)));
      const timer = setTimeout(() => breakOff('no end in time'), timeout);
      const stop = (): void => {
        clearTimeout(timer);
        forget();
      };
      const breakOff = (detail: string): void => {
        if (over) return;
        push({kind: 'broken', detail});
        abort.abort();
        void engine.cancel(attempt);
      };
      const read = async (): Promise<void> => {
        let sawOther = false;
        for await (const frame of engine.generate(work, abort.signal)) {
          if (frame.err) return push(lastEventOf(frame.val));
          matcher.deliver(frame.val.attempt, frame.val);
          sawOther ||= frame.val.attempt !== attempt;
          if (!over) await queue.room();
        }
        // A stream that carried another attempt's answer is crossed: this
        // attempt's own may still come on the other's stream.
        if (!sawOther) push({kind: 'broken', detail: 'the stream ended'});
      };
      void read();
      return {events: queue.events, cancel: () => breakOff('cancelled')};
    },
  };
}

function eventOf(frame: EngineFrame): RunEvent {
  switch (frame.kind) {
    case 'started':
      return {kind: 'started', versionDigest: frame.versionDigest};
    case 'token':
      return {
        kind: 'data',
        sequence: frame.sequence,
        content: Buffer.from(frame.text),
      };
    case 'end':
      return {kind: 'end', count: frame.count};
  }
}

/** Runs attempts on a plain service. */
export interface PlainServiceRuns {
  readonly run: (
    attempt: AttemptId,
    operation: string,
    content: Uint8Array,
    timeout: Milliseconds,
  ) => TargetRun;
}

/** Creates the runs of one plain service. */
export function createPlainServiceRuns(
  service: PlainServiceClient,
): PlainServiceRuns {
  const matcher = createAnswerMatcher<PlainServiceAnswer>();
  return {
    run: (attempt, operation, content, timeout) => {
      const queue = createEventQueue();
      const abort = new AbortController();
      let over = false;
      const finish = (events: readonly RunEvent[]): void => {
        if (over) return;
        over = true;
        clearTimeout(timer);
        forget();
        for (const event of events) queue.push(event);
      };
      const forget = matcher.expect(attempt, answer =>
        finish([
          {kind: 'data', sequence: 0, content: answer.content},
          {kind: 'end', count: 1},
        ]),
      );
      const timer = setTimeout(() => {
        finish([{kind: 'broken', detail: 'no answer in time'}]);
        abort.abort();
      }, timeout);
      const read = async (): Promise<void> => {
        const answer = await service.call(
          attempt,
          operation,
          content,
          abort.signal,
        );
        if (answer.err) finish([lastEventOfService(answer.val)]);
        else matcher.deliver(answer.val.attempt, answer.val);
      };
      void read();
      return {
        events: queue.events,
        cancel: () => {
          finish([{kind: 'broken', detail: 'cancelled'}]);
          abort.abort();
        },
      };
    },
  };
}

function lastEventOf(error: TargetError): RunEvent {
  switch (error.kind) {
    case 'unreachable':
    case 'refused':
      return {kind: 'notStarted', detail: error.detail};
    case 'cut':
    case 'malformed':
      return {kind: 'broken', detail: error.detail};
  }
}

function lastEventOfService(error: TargetError): RunEvent {
  // A plain service's error status is no proof that nothing was done: it may
  // have booked the charge and failed afterwards. Only a connection that was
  // never made is.
  if (error.kind === 'unreachable') return lastEventOf(error);
  return {kind: 'broken', detail: error.detail};
}
