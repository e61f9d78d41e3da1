import {createHash} from 'node:crypto';
import {request} from 'undici';
import {DEMO_MODEL, DEMO_OPERATION, DEMO_SERVICE} from '../../demo/rollout';
import {DEMO_KEYS, type DemoWorkspace} from '../../demo/site/settings_files';

/** A call of the plain service. */
export interface ServiceCall {
  readonly reference: string;
  /** Idempotency key; only repeatable operations may omit it. */
  readonly key?: string;
  readonly operation?: string;
  readonly deadline?: string;
}

/** The result of a call, as seen by its caller. */
export interface CallResult {
  readonly status: number;
  readonly outcome: 'answered' | 'notRun' | 'outcomeUnknown' | 'refused';
  /** Reason from the entry if the call was not run. */
  readonly reason: string | undefined;
  readonly retryAfter: string | undefined;
  /** The reference that the answer contains. */
  readonly answeredReference: string | undefined;
  readonly text: string;
}

const CALLER: DemoWorkspace = 'call-centre';

/** Sends one call of the plain service through an entry. */
export async function callOnce(
  url: string,
  call: ServiceCall,
): Promise<CallResult> {
  const {reference, key, operation = DEMO_OPERATION, deadline = '5s'} = call;
  const reply = await request(
    `${url}/v1/services/${DEMO_SERVICE}/calls/${operation}`,
    {
      method: 'POST',
      body: JSON.stringify({reference, amount: 120}),
      headers: {
        authorization: `Bearer ${DEMO_KEYS.workspaces[CALLER]}`,
        'content-type': 'application/json',
        'x-deadline': deadline,
        ...(key === undefined ? {} : {'idempotency-key': key}),
      },
    },
  );
  const text = await reply.body.text();
  const body = JSON.parse(text) as {
    outcome?: 'notRun' | 'outcomeUnknown';
    reason?: string;
    reference?: string;
  };
  const retryAfter = reply.headers['retry-after'];
  return {
    status: reply.statusCode,
    outcome:
      reply.statusCode === 200 ? 'answered' : (body.outcome ?? 'refused'),
    reason: body.reason,
    retryAfter: typeof retryAfter === 'string' ? retryAfter : undefined,
    answeredReference: body.reference,
    text,
  };
}

/** Key of the row that holds the claim on a caller's key. */
export function claimRowKey(key: string): string {
  return `claims/${CALLER}/${key}`;
}

/** The result of a generate request, as seen by its caller. */
export interface GenerateResult {
  readonly status: number;
  readonly outcome: 'whole' | 'notRun' | 'outcomeUnknown' | 'broken';
  /** Reason from the entry; undefined for an answer. */
  readonly reason: string | undefined;
  readonly versionDigest: string;
  readonly text: string;
  readonly tokens: number;
}

/** Parameters of a generate request. */
export interface Prompt {
  readonly prompt: string;
  readonly maximumTokens?: number;
  readonly deadline?: string;
  readonly model?: string;
}

/** Sends a generate request through an entry and reads the complete stream. */
export async function generate(
  url: string,
  {prompt, maximumTokens = 16, deadline = '20s', model = DEMO_MODEL}: Prompt,
): Promise<GenerateResult> {
  const reply = await request(`${url}/v1/models/${model}/generate`, {
    method: 'POST',
    // Prevents refusals because of the default time to the first token.
    body: JSON.stringify({
      prompt,
      maximumTokens,
      deadline,
      firstTokenWithin: deadline,
    }),
    headers: {
      authorization: `Bearer ${DEMO_KEYS.workspaces['shop-counter']}`,
      'content-type': 'application/json',
    },
  });
  const received = await readUntilEnd(reply.body);
  return parseStream(reply.statusCode, received);
}

/** Reads a body; if the connection breaks, returns what was received. */
async function readUntilEnd(body: AsyncIterable<Buffer>): Promise<string> {
  const pieces: Buffer[] = [];
  try {
    for await (const piece of body) pieces.push(piece);
  } catch {
    // The last received line then determines the outcome.
  }
  return Buffer.concat(pieces).toString();
}

interface StreamLine {
  readonly kind?: string;
  readonly outcome?: 'notRun' | 'outcomeUnknown';
  readonly reason?: string;
  readonly detail?: string;
  readonly versionDigest?: string;
  readonly sequence?: number;
  readonly text?: string;
  readonly count?: number;
  readonly digest?: string;
}

function parseStream(status: number, received: string): GenerateResult {
  const lines = received
    .split('\n')
    .filter(line => line !== '')
    .map(line => JSON.parse(line) as StreamLine);
  const tokens = lines.filter(line => line.kind === 'token');
  const text = tokens.map(line => line.text ?? '').join('');
  const last = lines.at(-1);
  const isWhole =
    last?.kind === 'end' &&
    last.count === tokens.length &&
    last.digest === digestOf(text);
  return {
    status,
    outcome: isWhole ? 'whole' : (last?.outcome ?? 'broken'),
    reason: last?.reason ?? last?.detail,
    versionDigest: lines[0]?.versionDigest ?? '',
    text,
    tokens: tokens.length,
  };
}

function digestOf(text: string): string {
  const hash = createHash('sha256').update(text, 'utf8');
  return `sha256:${hash.digest('hex')}`;
}
