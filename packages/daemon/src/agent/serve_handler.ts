import {status, type ServerWritableStream} from '@grpc/grpc-js';
import {
  unreachable,
  type AttemptId,
  type AttemptRegistry,
  type Milliseconds,
  type NotRunReason,
  type TombstoneAnswer,
  type CompleteAnswer,
} from '@hibiscusbeam/core';
import {
  TombstoneReply_State,
  type AgentServer,
  type ServeFrame,
  type ServeRequest,
} from '@hibiscusbeam/wire';
import type {Clock} from '../runtime/clock';
import {createDigester} from '../runtime/digests';
import {
  dataFrame,
  endFrame,
  failedFrame,
  framesOf,
  refusedFrame,
  startedFrame,
} from './serve_frames';
import type {RunEvent, TargetRun} from './target_runs';

/** When a caller should retry a request that this target does not serve. */
const NOT_SERVED_RETRY_AFTER: Milliseconds = 500;

/** How long a call that may not be retried is followed past its deadline. */
const EXTRA_TIME_PAST_DEADLINE: Milliseconds = 60_000;

/** A run that the agent counts as running until `ended` is called. */
export interface CountedRun extends TargetRun {
  readonly ended: () => void;
}

/** Whether the target can take a request, and how to run it. */
export type Readiness =
  | {
      readonly kind: 'ready';
      readonly run: (timeout: Milliseconds) => CountedRun;
    }
  | {readonly kind: 'notReady'; readonly reason: NotRunReason};

/** What the handler needs from its agent. */
export interface ServeHandlerOptions {
  readonly clock: Clock;
  /** Undefined until the agent knows its incarnation. */
  readonly registry: () => AttemptRegistry | undefined;
  readonly incarnation: () => number | undefined;
  readonly prepare: (request: ServeRequest) => Readiness;
  /** Called when an attempt starts; the returned function ends it. */
  readonly onStart: (request: ServeRequest) => () => void;
}

type Answer = ServerWritableStream<unknown, ServeFrame>;

const NOT_READY = {
  code: status.UNAVAILABLE,
  details: 'the agent is starting; ask again',
};

/** Answers `Serve`, `Collect` and `Tombstone`. */
export function createServeHandler(
  options: ServeHandlerOptions,
): Pick<AgentServer, 'serve' | 'collect' | 'tombstone'> {
  const {clock} = options;

  const serve = async (
    call: ServerWritableStream<ServeRequest, ServeFrame>,
  ): Promise<void> => {
    const registry = options.registry();
    const {request} = call;
    const {attempt, incarnation} = request;
    if (registry === undefined) return void call.emit('error', NOT_READY);
    const readiness = options.prepare(request);
    if (readiness.kind === 'notReady') {
      return refuseUnserved(call, registry, request, readiness.reason);
    }
    const decision = registry.start(attempt, incarnation, clock());
    switch (decision.kind) {
      case 'start':
        return runAttempt(call, registry, request, readiness);
      case 'refused':
        return endWith(call, refusedFrame(decision.event));
      case 'replay':
        return replay(call, decision.answer);
      case 'failed':
        return endWith(call, failedFrame(attempt, decision.detail));
      default:
        return unreachable(decision);
    }
  };

  /**
   * Refuses before the attempt is recorded as started. The tombstone makes the
   * refusal final: a second copy of the message can't start the attempt later.
   */
  const refuseUnserved = (
    call: Answer,
    registry: AttemptRegistry,
    request: ServeRequest,
    reason: NotRunReason,
  ): void => {
    const {attempt, incarnation} = request;
    const {state} = registry.tombstone(attempt, incarnation);
    if (state !== 'tombstoned') {
      return endWith(call, failedFrame(attempt, `the attempt is ${state}`));
    }
    const retryAfter = NOT_SERVED_RETRY_AFTER;
    endWith(
      call,
      refusedFrame({kind: 'refused', attempt, incarnation, reason, retryAfter}),
    );
  };

  const runAttempt = async (
    call: Answer,
    registry: AttemptRegistry,
    request: ServeRequest,
    readiness: Extract<Readiness, {kind: 'ready'}>,
  ): Promise<void> => {
    const {attempt, repeatable, deadlineMilliseconds} = request;
    const end = options.onStart(request);
    const timeout = repeatable
      ? deadlineMilliseconds
      : deadlineMilliseconds + EXTRA_TIME_PAST_DEADLINE;
    const run = readiness.run(timeout);
    // A call that may not be retried is followed to its end even if its entry
    // has disconnected, so that another entry can collect the answer.
    if (repeatable) call.on('cancelled', run.cancel);
    const result = await forwardEvents(call, request, run);
    run.ended();
    endRun(call, registry, attempt, result);
    end();
  };

  /** Records the end in the registry before it is sent to the entry. */
  const endRun = (
    call: Answer,
    registry: AttemptRegistry,
    attempt: AttemptId,
    result: RunResult,
  ): void => {
    switch (result.kind) {
      case 'whole': {
        const {frameCount, digest} = result;
        registry.finish(attempt, answerOf(attempt, result), clock());
        return endWith(call, endFrame(attempt, frameCount, digest));
      }
      case 'declined': {
        const event = registry.recordTargetRefusal(attempt, result.reason);
        if (event !== undefined) return endWith(call, refusedFrame(event));
        return endWith(call, failedFrame(attempt, 'the target refused it'));
      }
      case 'broken':
        registry.finish(attempt, undefined, clock());
        return endWith(call, failedFrame(attempt, result.detail));
      default:
        return unreachable(result);
    }
  };

  const replay = (call: Answer, answer: CompleteAnswer): void => {
    const incarnation = options.incarnation() ?? 0;
    for (const frame of framesOf(answer, incarnation)) call.write(frame);
    call.end();
  };

  return {
    serve: call => void serve(call),
    collect: call => {
      const {attempt, incarnation} = call.request;
      const registry = options.registry();
      const answer = registry?.collect(attempt, incarnation, clock());
      if (answer === undefined) {
        return endWith(call, failedFrame(attempt, 'no answer is kept'));
      }
      return replay(call, answer);
    },
    tombstone: (call, callback) => {
      const registry = options.registry();
      if (registry === undefined) return callback(NOT_READY);
      const {attempt, incarnation} = call.request;
      const answer = registry.tombstone(attempt, incarnation);
      callback(null, {
        attempt,
        incarnation: answer.incarnation,
        state: toTombstoneState(answer),
      });
    },
  };
}

/** A run with a complete answer. */
interface WholeRun {
  readonly kind: 'whole';
  readonly versionDigest: string | undefined;
  readonly frameCount: number;
  readonly digest: string;
  /** Kept only for a call that may not be retried. */
  readonly frames: readonly Uint8Array[] | undefined;
}

/** How a run ended. */
type RunResult =
  | WholeRun
  /** The target refused it before any work. */
  | {readonly kind: 'declined'; readonly reason: NotRunReason}
  | {readonly kind: 'broken'; readonly detail: string};

/** Forwards all events of a run but the last as frames. */
async function forwardEvents(
  call: Answer,
  request: ServeRequest,
  run: TargetRun,
): Promise<RunResult> {
  const {attempt, incarnation, repeatable} = request;
  const digester = createDigester();
  const frames: Uint8Array[] = [];
  let versionDigest: string | undefined;
  let startedSent = false;
  let frameCount = 0;
  const sendStarted = (): void => {
    if (startedSent) return;
    startedSent = true;
    call.write(startedFrame(attempt, versionDigest, incarnation));
  };
  for await (const event of run.events) {
    switch (event.kind) {
      case 'started':
        versionDigest = event.versionDigest;
        sendStarted();
        break;
      case 'data': {
        sendStarted();
        // The target numbers the parts of its answer. A duplicate or missing
        // part would give the caller a corrupted answer.
        if (event.sequence !== frameCount) {
          run.cancel();
          return broken('a part of the answer is missing');
        }
        frameCount += 1;
        digester.update(event.content);
        if (!repeatable) frames.push(event.content);
        const hasRoom = call.write(
          dataFrame(attempt, event.sequence, event.content),
        );
        if (!hasRoom) await waitForDrain(call);
        break;
      }
      case 'end':
        if (event.count !== frameCount) {
          return broken('the answer is shorter than it says');
        }
        return {
          kind: 'whole',
          versionDigest,
          frameCount,
          digest: digester.finish(),
          frames: repeatable ? undefined : frames,
        };
      case 'notStarted':
        return {kind: 'declined', reason: reasonOf(event)};
      case 'broken':
        return broken(event.detail);
      default:
        return unreachable(event);
    }
  }
  return broken('the target ended without an answer');
}

function reasonOf(
  event: Extract<RunEvent, {kind: 'notStarted'}>,
): NotRunReason {
  return event.detail.includes('queue') ? 'queueFull' : 'noTarget';
}

function broken(detail: string): RunResult {
  return {kind: 'broken', detail};
}

function endWith(call: Answer, frame: ServeFrame): void {
  call.write(frame);
  call.end();
}

/** Resolves when the reader has caught up or has disconnected. */
function waitForDrain(call: Answer): Promise<void> {
  if (call.cancelled) return Promise.resolve();
  return new Promise(resolve => {
    const done = (): void => {
      call.off('drain', done);
      call.off('cancelled', done);
      resolve();
    };
    call.on('drain', done);
    call.on('cancelled', done);
  });
}

function answerOf(
  attempt: AttemptId,
  run: WholeRun,
): CompleteAnswer | undefined {
  if (run.frames === undefined) return undefined;
  const {versionDigest, frames, digest} = run;
  return {attempt, versionDigest, frames, digest};
}

function toTombstoneState(answer: TombstoneAnswer): TombstoneReply_State {
  switch (answer.state) {
    case 'tombstoned':
      return TombstoneReply_State.STATE_TOMBSTONED;
    case 'started':
      return TombstoneReply_State.STATE_STARTED;
    case 'finished':
      return TombstoneReply_State.STATE_FINISHED;
    case 'forgotten':
      return TombstoneReply_State.STATE_FORGOTTEN;
    case 'otherIncarnation':
      return TombstoneReply_State.STATE_OTHER_INCARNATION;
    default:
      return unreachable(answer.state);
  }
}
