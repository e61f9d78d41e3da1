import {
  createFirstEventTimes,
  forwardRequest,
  type Bytes,
  type ForwardResult,
  type ListedTarget,
  type Milliseconds,
  type MonotonicInstant,
} from '@hibiscusbeam/core';
import {drive, type Log} from '@hibiscusbeam/daemon';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CallerHeader} from '../ports';
import {cutAnswer, endWithConnection} from './answer_framing';
import type {WholeAnswer} from './attempt';
import type {BufferedBytes} from './buffered_bytes';
import {createExpectedRuns} from './expected_run';
import type {FleetMetrics} from './fleet_metrics';
import type {IncomingRequests} from './incoming_requests';
import {
  localAnswerFor,
  writeLocalAnswer,
  type LocalAnswer,
} from './local_answers';
import {
  acceptHeader,
  acceptRequest,
  deny,
  type AcceptedHeader,
  type AcceptedRequest,
  type ArrivedHeader,
  type RequestAcceptanceOptions,
} from './request_acceptance';
import {announcedLength, readBody} from './request_body';
import type {RequestRunOptions} from './request_context';
import {
  BODY_TOO_LARGE_ANSWER,
  bodyRefusal,
  discardedRest,
  UNKNOWN_EXPECTATION_ANSWER,
  type BodyRefusal,
} from './request_refusals';
import {createRequestRun} from './request_run';
import {createRequestTrace, type RequestTrace} from './request_trace';
import type {StreamProgress} from './stream_relay';
import {createTimeliness} from './timeliness';
import type {UnreadRequests, UnreadRest} from './unread_requests';

/**
 * Answer if the handler itself fails; it is unknown whether the request has
 * run.
 */
const FAILED_ANSWER: LocalAnswer = {status: 502, reason: 'failed'};

/** Maximum delay of a Node.js timer; with a longer one it fires at once. */
const MAX_TIMER: Milliseconds = 2 ** 31 - 1;

/** Dependencies of the request handler. */
export interface RequestHandlerOptions
  extends
    Omit<RequestAcceptanceOptions, 'expectedRuns'>,
    Omit<RequestRunOptions, 'timeliness' | 'answerTimes' | 'ownLines'> {
  readonly metrics: FleetMetrics;
  readonly buffers: BufferedBytes;
  readonly incoming: IncomingRequests;
  readonly unread: UnreadRequests;
  readonly log: Log;
  /**
   * Latest time at which the list of targets is known to have been as it is
   * held here.
   */
  readonly listedAt: () => MonotonicInstant | undefined;
}

/**
 * What a caller expects before it sends the body: nothing, an informational
 * answer, or something unknown.
 */
export type Expectation = 'none' | 'continue' | 'unknown';

/** Handles callers' requests. */
export interface RequestHandler {
  readonly handle: (
    request: IncomingMessage,
    response: ServerResponse,
    expectation: Expectation,
  ) => void;
  /** Number of requests that were read and whose answers are not yet sent. */
  readonly running: () => number;
  /**
   * Ends all requests in progress with the answers they would get at their
   * deadlines.
   */
  readonly endAll: () => void;
  /** Cuts all answers that are not yet sent. */
  readonly cutAll: () => void;
}

/** Creates the request handler. */
export function createRequestHandler(
  options: RequestHandlerOptions,
): RequestHandler {
  const {protocol, operator, clock, log, metrics} = options;
  const answerTimes = createFirstEventTimes();
  const timeliness = createTimeliness(answerTimes);
  const runOptions = {...options, timeliness, answerTimes, ownLines};
  const expectedRuns = createExpectedRuns();
  const acceptance = {...options, expectedRuns};
  const unsent = new Set<ServerResponse>();
  const deadlines = new Set<() => void>();

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
    expectation: Expectation,
  ): Promise<void> {
    const arrivedAt = clock();
    const header = protocol.readCaller(request.rawHeaders);
    const path = request.url ?? '/';
    const decided =
      expectation === 'unknown'
        ? UNKNOWN_EXPECTATION_ANSWER
        : decideByHeader(request, {header, path, arrivedAt});
    if ('status' in decided) {
      const rest: UnreadRest =
        expectation === 'none' ? discardedRest(maxBody()) : {kind: 'unsent'};
      answerLocally(request, response, header, {answer: decided, rest});
      return;
    }
    if (expectation === 'continue') response.writeContinue();
    const reading = await readBody(request, response, {
      maxLength: decided.table.configuration.limits.bodyBytes,
      deadline: decided.deadline,
      incoming: options.incoming,
    });
    if (reading.kind === 'gone' || response.destroyed) return;
    if (reading.kind === 'refused') {
      metrics.countRefusedBody(reading.reason);
      const refusal = bodyRefusal({
        reading,
        tooLargeAnswer: tooLargeAnswer(),
        maxBody: maxBody(),
      });
      answerLocally(request, response, header, refusal);
      return;
    }
    const accepted = acceptRequest(acceptance, decided, reading.body);
    if ('status' in accepted) {
      reading.body.release();
      const rest = discardedRest(maxBody());
      answerLocally(request, response, header, {answer: accepted, rest});
      return;
    }
    countUntilClosed(response);
    observeReadingAges();
    await forward(request, response, accepted);
  }

  /** Decides what can be known before the body. */
  function decideByHeader(
    request: IncomingMessage,
    arrived: ArrivedHeader,
  ): AcceptedHeader | LocalAnswer {
    const accepted = acceptHeader(acceptance, arrived);
    if ('status' in accepted) return accepted;
    const {bodyBytes} = accepted.table.configuration.limits;
    return announcedLength(request) > bodyBytes ? tooLargeAnswer() : accepted;
  }

  function tooLargeAnswer(): LocalAnswer {
    return deny(options.readings.configuration(), BODY_TOO_LARGE_ANSWER);
  }

  function maxBody(): Bytes | undefined {
    return operator.table()?.configuration.limits.bodyBytes;
  }

  /**
   * A request is in progress until its answer has left this process, which may
   * take long if the caller reads slowly.
   */
  function countUntilClosed(response: ServerResponse): void {
    unsent.add(response);
    response.once('close', () => unsent.delete(response));
  }

  async function forward(
    request: IncomingMessage,
    response: ServerResponse,
    accepted: AcceptedRequest,
  ): Promise<void> {
    const trace = createRequestTrace(clock);
    const progress: StreamProgress = {
      begun: false,
      lastEventId: accepted.header.resumeAfter,
      begunAt: undefined,
    };
    const buffers = options.buffers.open(response, accepted.header.requestId);
    const ending = watchEnding(response, accepted);
    const run = createRequestRun(runOptions, {
      request,
      response,
      accepted,
      trace,
      progress,
      buffers,
      ...ending,
    });
    options.budgets.recordFirstAttempt(accepted.service);
    const flow = forwardRequest<ListedTarget>(accepted.route);
    const result = await drive(flow, run.perform).finally(() => {
      ending.stop();
      run.end();
      accepted.body.release();
    });
    finish(response, result, run.answer());
    buffers.releaseAnswers();
    if (result.kind === 'streamed') learnRun(accepted, progress);
    record(accepted, result, trace, progress);
    options.places.pump();
  }

  function learnRun(
    {header, service, route}: AcceptedRequest,
    {begunAt}: StreamProgress,
  ): void {
    const table = operator.table();
    if (table === undefined || begunAt === undefined) return;
    const run = {header, table, service, route: route.name};
    expectedRuns.recordWritten(run, clock() - begunAt);
  }

  /**
   * Watches for the deadline, and for a caller that disconnects before the end
   * of the answer.
   */
  function watchEnding(response: ServerResponse, accepted: AcceptedRequest) {
    const ended = new AbortController();
    let by: 'callerGone' | 'timedOut' | undefined;
    const end = (cause: 'callerGone' | 'timedOut'): void => {
      by ??= cause;
      ended.abort();
    };
    const left = Math.min(accepted.deadline - clock(), MAX_TIMER);
    const endAtDeadline = (): void => end('timedOut');
    const timer = setTimeout(endAtDeadline, left);
    deadlines.add(endAtDeadline);
    response.once('close', () => {
      if (!response.writableFinished) end('callerGone');
    });
    return {
      signal: ended.signal,
      endedBy: () => by,
      stop: () => {
        clearTimeout(timer);
        deadlines.delete(endAtDeadline);
      },
    };
  }

  function finish(
    response: ServerResponse,
    result: ForwardResult,
    answer: WholeAnswer | undefined,
  ): void {
    if (response.destroyed) return;
    if (result.kind === 'streamed') {
      response.end();
      return;
    }
    const isBegun = response.headersSent;
    if (result.kind === 'passOn' && answer !== undefined && !isBegun) {
      if (!answer.isFramed) endWithConnection(response);
      const length = ['Content-Length', String(answer.body.length)];
      response.writeHead(answer.status, [
        ...protocol.writeAnswer(answer.lines),
        ...(answer.isFramed ? length : ['Connection', 'close']),
        ...(answer.isFramed ? ownLines() : []),
      ]);
      response.end(answer.body);
      return;
    }
    const own = localAnswerFor(result);
    // A stream that has begun can only be cut.
    if (own === undefined || isBegun) void cutAnswer(response);
    else writeLocalAnswer(response, own, ownLines());
  }

  /** While stopping, asks callers to open their next connection elsewhere. */
  function ownLines(): readonly string[] {
    return options.plannedStop.phase() === 'serving'
      ? []
      : ['Connection', 'close'];
  }

  function answerLocally(
    request: IncomingMessage,
    response: ServerResponse,
    header: CallerHeader,
    {answer, rest}: BodyRefusal,
  ): void {
    countUntilClosed(response);
    observeReadingAges();
    options.unread.refuse(request, response, answer, ownLines(), rest);
    metrics.countRequest('none', String(answer.status));
    log.info('answered here', {
      request: header.requestId,
      host: header.host,
      path: request.url,
      status: answer.status,
      reason: answer.reason,
      configuration: operator.table()?.version,
      ...readingAges(),
    });
  }

  /** Ages of the store readings that requests are decided by. */
  function readingAges() {
    return {
      confirmationAge: ageOf(options.confirmation.confirmedAt()),
      listAge: ageOf(options.listedAt()),
    };
  }

  function ageOf(at: MonotonicInstant | undefined): Milliseconds | undefined {
    if (at === undefined) return undefined;
    return Math.round(options.machineClock() - at);
  }

  function observeReadingAges(): void {
    const {confirmationAge, listAge} = readingAges();
    if (confirmationAge !== undefined) {
      metrics.observeReadingAge('configuration', confirmationAge);
    }
    if (listAge !== undefined) metrics.observeReadingAge('targets', listAge);
  }

  function record(
    accepted: AcceptedRequest,
    result: ForwardResult,
    trace: RequestTrace,
    progress: StreamProgress,
  ): void {
    const took = Math.round(clock() - accepted.arrivedAt);
    metrics.countRequest(accepted.route.name, result.kind);
    metrics.observeDuration(accepted.route.name, took);
    log.info('request', {
      request: accepted.header.requestId,
      route: accepted.route.name,
      service: accepted.service,
      workspace:
        accepted.access.kind === 'workspace'
          ? accepted.access.workspace.name
          : undefined,
      fingerprint: accepted.fingerprint,
      promptParts: accepted.promptParts,
      result: result.kind,
      reason: 'reason' in result ? result.reason : undefined,
      cause: 'cause' in result ? result.cause : undefined,
      took,
      lastEvent: progress.lastEventId,
      firstEvent:
        progress.begunAt === undefined
          ? undefined
          : Math.round(progress.begunAt - accepted.arrivedAt),
      objective: accepted.route.objective,
      patience: accepted.header.patience,
      configuration: operator.table()?.version,
      ...readingAges(),
      attempts: trace.lines(),
    });
  }

  /** Gives a request whose handling fails a final answer. */
  function answerFailure(response: ServerResponse, error: unknown): void {
    log.error('request failed in this process', {error});
    if (response.writableEnded) return;
    if (response.headersSent) {
      void cutAnswer(response);
      return;
    }
    writeLocalAnswer(response, FAILED_ANSWER, ownLines());
    metrics.countRequest('none', String(FAILED_ANSWER.status));
  }

  return {
    handle: (request, response, expectation) => {
      handle(request, response, expectation).catch((error: unknown) =>
        answerFailure(response, error),
      );
    },
    running: () => unsent.size,
    endAll: () => {
      for (const endAtDeadline of [...deadlines]) endAtDeadline();
    },
    cutAll: () => [...unsent].forEach(response => response.destroy()),
  };
}
