import {randomUUID} from 'node:crypto';
import {
  claimKey,
  createAtMostOnceFlow,
  createAttemptSource,
  createByteBlocks,
  createOwnAttempt,
  createRepeatableFlow,
  DEFAULT_AT_MOST_ONCE_LIMITS,
  DEFAULT_REPEATABLE_LIMITS,
  lookUp,
  mayServe,
  type AcceptedConfiguration,
  type AttemptId,
  type EmitEffect,
  type InstanceName,
  type Milliseconds,
  type ModelName,
  type NotRunReason,
  type RequestResult,
  type ServiceName,
  type WorkspaceConfiguration,
  type WorkspaceLimits,
  type WorkspaceName,
} from '@hibiscusbeam/core';
import type {Clock} from '../runtime/clock';
import {createDigester, digestText} from '../runtime/digests';
import type {ActivityCounter} from '../utils/activity_counter';
import type {AnswerWriter} from './answer_writer';
import type {Dispatcher, RoutedRequest} from './dispatcher_types';
import type {GenerateBody} from './request_parsing';
import type {RequestRunner} from './request_runner';

/** Retry delay for a workspace that is closed, for example while it moves. */
const WORKSPACE_CLOSED_RETRY_AFTER: Milliseconds = 2_000;

/** Retry delay for an entry that is overloaded or has no configuration. */
const UNAVAILABLE_RETRY_AFTER: Milliseconds = 1_000;

/** A call to a plain service. */
export interface ServiceCall {
  readonly service: ServiceName;
  readonly operation: string;
  /** The body as JSON text. */
  readonly content: Uint8Array;
  readonly idempotencyKey: string | undefined;
  readonly deadline: Milliseconds;
}

/** The final answer to a call of a plain service. */
export interface CallResult {
  readonly outcome: RequestResult['outcome'];
  /** The answer as JSON text; undefined if there is none. */
  readonly content: Uint8Array | undefined;
}

/** Serves the requests of callers. */
export interface CallerService {
  /** Streams the answer; always ends with an end line or an outcome. */
  readonly generate: (
    workspace: WorkspaceName,
    model: ModelName,
    body: GenerateBody,
    writer: AnswerWriter,
    callerGone: AbortSignal,
  ) => Promise<RequestResult['outcome']>;
  readonly call: (
    workspace: WorkspaceName,
    call: ServiceCall,
  ) => Promise<CallResult>;
  /**
   * Whether a call needs an idempotency key, as the operation must run at most
   * once. True if the configuration, service or operation is not known.
   */
  readonly needsKey: (service: ServiceName, operation: string) => boolean;
}

/** Options of {@link createCallerService}. */
export interface CallerServiceOptions {
  readonly instance: InstanceName;
  readonly clock: Clock;
  readonly configuration: () => AcceptedConfiguration | undefined;
  readonly runner: RequestRunner;
  readonly dispatcher: Dispatcher;
  readonly limits: WorkspaceLimits;
  /** Maximum number of requests in progress at this entry. */
  readonly maxInProgress: number;
  /** Workspaces with requests in progress. */
  readonly workspacesInProgress: ActivityCounter;
}

/** Creates the caller service of one incarnation of an entry. */
export function createCallerService(
  options: CallerServiceOptions,
): CallerService {
  const {clock, runner, dispatcher, limits} = options;
  const createAttempt = createAttemptSource(
    `${options.instance}.${randomUUID()}`,
  );

  /**
   * Returns the configuration of the workspace, or the result with which the
   * request is refused before anything is dispatched.
   */
  const admit = (
    workspace: WorkspaceName,
  ): RequestResult | WorkspaceConfiguration => {
    const accepted = options.configuration();
    if (accepted === undefined) {
      return refuse(
        createAttempt,
        'platformUnavailable',
        UNAVAILABLE_RETRY_AFTER,
      );
    }
    const {configuration} = accepted;
    const workspaceConfiguration = lookUp(configuration.workspaces, workspace);
    if (
      workspaceConfiguration === undefined ||
      !mayServe(workspace, configuration)
    ) {
      return refuse(
        createAttempt,
        'workspaceClosed',
        WORKSPACE_CLOSED_RETRY_AFTER,
      );
    }
    if (runner.running() >= options.maxInProgress) {
      return refuse(createAttempt, 'queueFull', UNAVAILABLE_RETRY_AFTER);
    }
    const limitDecision = limits.take(workspace, clock());
    if (limitDecision.kind === 'limited') {
      return refuse(createAttempt, 'workspaceLimit', limitDecision.retryAfter);
    }
    return workspaceConfiguration;
  };

  /** Counts a request from its admission to its final answer. */
  const trackInProgress = async <Value>(
    workspace: WorkspaceName,
    work: () => Promise<Value>,
  ): Promise<Value> => {
    // Without this, a move could see the workspace as idle between a request's
    // admission and its dispatch and open it on the other side, while the
    // request still runs here.
    const end = options.workspacesInProgress.begin(workspace);
    try {
      return await work();
    } finally {
      end();
    }
  };

  const generate: CallerService['generate'] = (workspace, ...others) =>
    trackInProgress(workspace, () => generateAdmitted(workspace, ...others));

  const call: CallerService['call'] = (workspace, serviceCall) =>
    trackInProgress(workspace, () => callAdmitted(workspace, serviceCall));

  const startRepeatableFlow = (routed: RoutedRequest) => {
    dispatcher.recordFirstTry();
    return createRepeatableFlow({
      deadline: routed.deadline,
      limits: DEFAULT_REPEATABLE_LIMITS,
      now: clock,
      createAttempt,
      createDigester,
      spendRetry: () => dispatcher.spendRetry(routed),
    });
  };

  const generateAdmitted: CallerService['generate'] = async (
    workspace,
    model,
    body,
    writer,
    callerGone,
  ) => {
    const admitted = admit(workspace);
    if ('outcome' in admitted) return finish(admitted.outcome, writer);
    const {priority, weight} = admitted;
    const receivedAt = clock();
    const deadline = receivedAt + body.deadline;
    const firstTokenBy = receivedAt + body.firstTokenWithin;
    const {prompt, maximumTokens} = body;
    const routed: RoutedRequest = {
      workspace,
      precedence: {priority, weight},
      work: {kind: 'model', model, versionDigest: undefined},
      prompt,
      maximumTokens,
      firstTokenBy,
      deadline,
    };
    const flow = startRepeatableFlow(routed);
    const result = await runner.run(flow, {
      routed,
      serveWork: {
        workspace,
        work: {
          $case: 'generate',
          generate: {model, versionDigest: '', prompt, maximumTokens},
        },
        priority,
        repeatable: true,
      },
      emit: frame => writeFrame(writer, frame),
      callerGone,
    });
    return finish(result.outcome, writer);
  };

  const callAdmitted: CallerService['call'] = async (
    workspace,
    serviceCall,
  ) => {
    const admitted = admit(workspace);
    if ('outcome' in admitted) {
      return {outcome: admitted.outcome, content: undefined};
    }
    const {priority, weight} = admitted;
    const {service, operation, content, idempotencyKey} = serviceCall;
    const deadline = clock() + serviceCall.deadline;
    const context = {
      routed: {
        workspace,
        precedence: {priority, weight},
        work: {kind: 'service', service},
        prompt: '',
        maximumTokens: 0,
        firstTokenBy: undefined,
        deadline,
      },
      serveWork: {
        workspace,
        work: {$case: 'call', call: {service, operation, body: content}},
        priority,
        repeatable: idempotencyKey === undefined,
      },
      callerGone: undefined,
    } as const;
    if (idempotencyKey !== undefined) {
      const flow = createAtMostOnceFlow({
        key: claimKey(workspace, idempotencyKey),
        fingerprint: fingerprintOf(serviceCall),
        entry: options.instance,
        deadline,
        limits: DEFAULT_AT_MOST_ONCE_LIMITS,
        now: clock,
        createAttempt,
        createDigester,
      });
      const result = await runner.run(flow, {
        ...context,
        emit: () => undefined,
      });
      const frames = result.answer?.frames;
      return {
        outcome: result.outcome,
        content: frames === undefined ? undefined : Buffer.concat(frames),
      };
    }
    return callRepeatable(context);
  };

  const callRepeatable = async (
    context: Omit<Parameters<RequestRunner['run']>[1], 'emit'>,
  ): Promise<CallResult> => {
    const content = createByteBlocks();
    const flow = startRepeatableFlow(context.routed);
    const {outcome} = await runner.run(flow, {
      ...context,
      emit: frame => {
        if (frame.kind === 'data') content.add(frame.content);
        return undefined;
      },
    });
    if (outcome.kind !== 'answered') return {outcome, content: undefined};
    return {outcome, content: Buffer.concat(content.take())};
  };

  return {
    generate,
    call,
    needsKey: (service, operation) => {
      const accepted = options.configuration();
      if (accepted === undefined) return true;
      const serviceConfiguration = lookUp(
        accepted.configuration.services,
        service,
      );
      return serviceConfiguration?.notRepeatable.includes(operation) ?? true;
    },
  };
}

function refuse(
  createAttempt: () => AttemptId,
  reason: NotRunReason,
  retryAfter: Milliseconds,
): RequestResult {
  const evidence = createOwnAttempt(createAttempt()).disown();
  if (evidence === undefined) throw new Error('the attempt was already sent');
  return {
    outcome: {kind: 'notRun', evidence, reason, retryAfter},
    answer: undefined,
  };
}

function finish(
  outcome: RequestResult['outcome'],
  writer: AnswerWriter,
): RequestResult['outcome'] {
  if (outcome.kind === 'answered') writer.end();
  else writer.endWithOutcome(outcome);
  return outcome;
}

function writeFrame(
  writer: AnswerWriter,
  frame: EmitEffect['frame'],
): Promise<void> | undefined {
  switch (frame.kind) {
    case 'started': {
      const versionDigest = frame.versionDigest ?? '';
      return writer.write({kind: 'started', versionDigest});
    }
    case 'data': {
      const {sequence, content} = frame;
      const text = Buffer.from(content).toString();
      return writer.write({kind: 'token', sequence, text});
    }
    case 'end': {
      const {frameCount, digest} = frame;
      return writer.write({kind: 'end', count: frameCount, digest});
    }
  }
}

/** Digest of a call, to detect an idempotency key used for two calls. */
function fingerprintOf(call: ServiceCall): string {
  const {service, operation, content} = call;
  const body = Buffer.from(content).toString();
  return digestText(JSON.stringify([service, operation, body]));
}
