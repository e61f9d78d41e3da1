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

/** Events queued for a slow reader before reading from the target pauses. */
const MAX_QUEUED_EVENTS = 64;

/** What happens to one attempt at the target. */
export type RunEvent =
  | {readonly kind: 'started'; readonly versionDigest: VersionDigest}
  | {
      readonly kind: 'data';
      readonly sequence: number;
      readonly content: Uint8Array;
    }
  | {readonly kind: 'end'; readonly count: number}
  /** The target has not started the attempt. */
  | {readonly kind: 'notStarted'; readonly detail: string}
  /** The target may have started the attempt; the answer is incomplete. */
  | {readonly kind: 'broken'; readonly detail: string};

/** One attempt at the target. */
export interface TargetRun {
  /** Events; the last one is `end`, `notStarted` or `broken`. */
  readonly events: AsyncIterable<RunEvent>;
  /** Stops the attempt; the events end with `broken`. */
  readonly cancel: () => void;
}

/** A queue between the target's client and the reader of the events. */
interface EventQueue {
  readonly push: (event: RunEvent) => void;
  /** Undefined if there is room, else a promise that resolves once there is. */
  readonly waitForRoom: () => Promise<void> | undefined;
  readonly events: AsyncIterable<RunEvent>;
}

function createEventQueue(): EventQueue {
  const queued: RunEvent[] = [];
  let wake: (() => void) | undefined;
  let notifyRoom: (() => void) | undefined;
  async function* read(): AsyncIterable<RunEvent> {
    for (;;) {
      const event = queued.shift();
      if (event === undefined) {
        await new Promise<void>(resolve => (wake = resolve));
        continue;
      }
      if (queued.length < MAX_QUEUED_EVENTS) notifyRoom?.();
      yield event;
      if (isFinalEvent(event)) return;
    }
  }
  return {
    push: event => {
      queued.push(event);
      const resolve = wake;
      wake = undefined;
      resolve?.();
    },
    waitForRoom: () =>
      queued.length < MAX_QUEUED_EVENTS
        ? undefined
        : new Promise(resolve => (notifyRoom = resolve)),
    events: read(),
  };
}

function isFinalEvent(event: RunEvent): boolean {
  return event.kind !== 'started' && event.kind !== 'data';
}

/** Runs attempts on a model engine. */
export interface EngineRuns {
  readonly run: (work: GenerateWork, timeout: Milliseconds) => TargetRun;
}

/** Creates the runner of attempts on one model engine. */
export function createEngineRuns(engine: EngineClient): EngineRuns {
  const matcher = createAnswerMatcher<EngineFrame>();
  return {
    run: (work, timeout) => {
      const {attempt} = work;
      const queue = createEventQueue();
      const abort = new AbortController();
      let hasEnded = false;
      const push = (event: RunEvent): void => {
        if (hasEnded) return;
        hasEnded = isFinalEvent(event);
        if (hasEnded) stop();
        queue.push(event);
      };
      const unregister = matcher.expect(attempt, frame =>
        push(toRunEvent(frame)),
      );
      const timer = setTimeout(() => abortRun('no end in time'), timeout);
      const stop = (): void => {
        clearTimeout(timer);
        unregister();
      };
      const abortRun = (detail: string): void => {
        if (hasEnded) return;
        push({kind: 'broken', detail});
        abort.abort();
        void engine.cancel(attempt);
      };
      const read = async (): Promise<void> => {
        let sawOther = false;
        for await (const frame of engine.generate(work, abort.signal)) {
          if (frame.err) return push(toFinalEvent(frame.val));
          matcher.deliver(frame.val.attempt, frame.val);
          sawOther ||= frame.val.attempt !== attempt;
          if (!hasEnded) await queue.waitForRoom();
        }
        // If the stream carried another attempt's answer, the engine has
        // swapped streams: this attempt's answer may still come on the other.
        if (!sawOther) push({kind: 'broken', detail: 'the stream ended'});
      };
      void read();
      return {events: queue.events, cancel: () => abortRun('cancelled')};
    },
  };
}

function toRunEvent(frame: EngineFrame): RunEvent {
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

/** Creates the runner of attempts on one plain service. */
export function createPlainServiceRuns(
  service: PlainServiceClient,
): PlainServiceRuns {
  const matcher = createAnswerMatcher<PlainServiceAnswer>();
  return {
    run: (attempt, operation, content, timeout) => {
      const queue = createEventQueue();
      const abort = new AbortController();
      let hasEnded = false;
      const finish = (events: readonly RunEvent[]): void => {
        if (hasEnded) return;
        hasEnded = true;
        clearTimeout(timer);
        unregister();
        for (const event of events) queue.push(event);
      };
      const unregister = matcher.expect(attempt, answer =>
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
        if (answer.err) finish([toFinalServiceEvent(answer.val)]);
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

function toFinalEvent(error: TargetError): RunEvent {
  switch (error.kind) {
    case 'unreachable':
    case 'refused':
      return {kind: 'notStarted', detail: error.detail};
    case 'cut':
    case 'malformed':
      return {kind: 'broken', detail: error.detail};
  }
}

function toFinalServiceEvent(error: TargetError): RunEvent {
  // An error status does not prove that nothing was done: the service may have
  // executed the operation, for example a charge, and failed afterwards. Only a
  // connection that was never established proves it.
  if (error.kind === 'unreachable') return toFinalEvent(error);
  return {kind: 'broken', detail: error.detail};
}
