import {readWholeBody, type Bytes} from '@hibiscusbeam/core';
import {createCheckedAgent} from '@hibiscusbeam/daemon';
import {Err, Ok, type Result} from 'ts-results';
import {request} from 'undici';
import type * as z from 'zod';
import {
  abandonReplySchema,
  confirmReplySchema,
  planListReplySchema,
  planReplySchema,
  refusalSchema,
  statusReplySchema,
  type PlanListReply,
  type PlanReply,
  type Refusal,
  type StatusReply,
} from './replies';
import type {OperatorError, OperatorResult} from './types';

// Planning fetches manifests from the origin, so its reply may be slow.
const REPLY_TIMEOUT_MILLISECONDS = 30_000;

/** Maximum size of a reply. */
const MAX_REPLY: Bytes = 16 * 1024 * 1024;

/** Error codes of connections that were never made; nothing was sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Refusals with status 500 or above after which nothing has changed. */
const NO_EFFECT_REFUSALS: ReadonlySet<string> = new Set([
  'platformUnavailable',
  'starting',
]);

const dispatcher = createCheckedAgent();

/** Operator requests to an entry. */
export interface OperatorClient {
  readonly plan: (intent: string) => OperatorResult<PlanReply>;
  readonly confirm: (
    planId: string,
  ) => OperatorResult<z.output<typeof confirmReplySchema>>;
  readonly show: (planId: string) => OperatorResult<PlanReply>;
  readonly list: () => OperatorResult<PlanListReply>;
  readonly abandon: (
    planId: string,
  ) => OperatorResult<z.output<typeof abandonReplySchema>>;
  readonly status: () => OperatorResult<StatusReply>;
}

/** Base URL of the entry and the operator's key. */
export interface OperatorClientOptions {
  readonly entry: string;
  readonly key: string;
}

interface Call<Schema extends z.ZodType> {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly yaml?: string;
  readonly schema: Schema;
  /** Whether the call may have changed the site if its reply is lost. */
  readonly changes: boolean;
}

/** Creates a client, which connects on its first call. */
export function createOperatorClient(
  options: OperatorClientOptions,
): OperatorClient {
  const read = <Schema extends z.ZodType>(path: string, schema: Schema) =>
    exchange(options, {method: 'GET', path, schema, changes: false});
  const planPath = (planId: string) =>
    `/v1/plans/${encodeURIComponent(planId)}`;
  return {
    plan: intent =>
      exchange(options, {
        method: 'POST',
        path: '/v1/intents/plan',
        yaml: intent,
        schema: planReplySchema,
        changes: false,
      }),
    confirm: planId =>
      exchange(options, {
        method: 'POST',
        path: `${planPath(planId)}/confirm`,
        schema: confirmReplySchema,
        changes: true,
      }),
    show: planId => read(planPath(planId), planReplySchema),
    list: () => read('/v1/plans', planListReplySchema),
    abandon: planId =>
      exchange(options, {
        method: 'DELETE',
        path: planPath(planId),
        schema: abandonReplySchema,
        changes: true,
      }),
    status: () => read('/v1/status', statusReplySchema),
  };
}

async function exchange<Schema extends z.ZodType>(
  options: OperatorClientOptions,
  call: Call<Schema>,
): OperatorResult<z.output<Schema>> {
  const response = await sendRequest(options, call);
  if (response.err) return response;
  const {status, json} = response.val;
  if (status >= 400) return Err(refusalError(call, status, json));
  const value = call.schema.safeParse(json);
  if (value.success) return Ok({value: value.data, json});
  const problem = value.error.issues[0];
  return Err(
    lostReplyError(
      call,
      `the entry's reply is not understood (${problem?.path.join('.')}: ${problem?.message}); use the program of the entry's version`,
    ),
  );
}

async function sendRequest<Schema extends z.ZodType>(
  options: OperatorClientOptions,
  call: Call<Schema>,
): Promise<Result<{status: number; json: unknown}, OperatorError>> {
  try {
    const response = await request(`${options.entry}${call.path}`, {
      dispatcher,
      method: call.method,
      headers: {
        authorization: `Bearer ${options.key}`,
        ...(call.yaml === undefined
          ? {}
          : {'content-type': 'application/yaml'}),
      },
      body: call.yaml ?? null,
      signal: AbortSignal.timeout(REPLY_TIMEOUT_MILLISECONDS),
    });
    const body = await readWholeBody(response.body, {
      maxBytes: MAX_REPLY,
      clock: () => performance.now(),
    });
    const json = parseJson(body.toString('utf8'));
    return Ok({status: response.statusCode, json});
  } catch (error) {
    return Err(transportError(call, options.entry, error));
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function transportError<Schema extends z.ZodType>(
  call: Call<Schema>,
  entry: string,
  error: unknown,
): OperatorError {
  const {code, message} = error as NodeJS.ErrnoException;
  const detail = `${entry}: ${code ?? ''} ${message}`.replace('  ', ' ');
  if (CONNECT_ERROR_CODES.has(code ?? '')) return {kind: 'unreachable', detail};
  return lostReplyError(call, `${detail} (no reply)`);
}

/**
 * A change whose reply is lost may have taken effect. If it were reported as
 * unreachable, the operator would plan the same change again.
 */
function lostReplyError<Schema extends z.ZodType>(
  call: Call<Schema>,
  detail: string,
): OperatorError {
  return {kind: call.changes ? 'outcomeUnknown' : 'unreachable', detail};
}

function refusalError<Schema extends z.ZodType>(
  call: Call<Schema>,
  status: number,
  json: unknown,
): OperatorError {
  const refusal = refusalSchema.safeParse(json);
  if (refusal.success) return errorOfRefusal(call, status, refusal.data);
  const detail = `the entry answered with status ${status}`;
  if (status >= 500) return lostReplyError(call, detail);
  return {kind: 'refused', refusal: {error: `status ${status}`, detail}};
}

function errorOfRefusal<Schema extends z.ZodType>(
  call: Call<Schema>,
  status: number,
  refusal: Refusal,
): OperatorError {
  const detail = refusal.advice ?? refusal.detail ?? refusal.error;
  if (refusal.error === 'outcomeUnknown') {
    return {kind: 'outcomeUnknown', detail};
  }
  if (NO_EFFECT_REFUSALS.has(refusal.error)) {
    return {kind: 'unreachable', detail};
  }
  if (status >= 500) return lostReplyError(call, detail);
  return {kind: 'refused', refusal};
}
