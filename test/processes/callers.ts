import {createHash} from 'node:crypto';
import {request} from 'undici';
import {DEMO_MODEL, DEMO_OPERATION, DEMO_SERVICE} from '../../demo/rollout';
import {DEMO_KEYS, type DemoWorkspace} from '../../demo/site/settings_files';

/** A call of the plain service. */
export interface ServiceCall {
  readonly reference: string;
  /** Without one, an operation that may be repeated must be named. */
  readonly key?: string;
  readonly operation?: string;
  readonly deadline?: string;
}

/** How a call ended for its caller. */
export interface CallResult {
  readonly status: number;
  readonly outcome: 'answered' | 'notRun' | 'outcomeUnknown' | 'refused';
  /** Why it was not run, as the entry says. */
  readonly reason: string | undefined;
  readonly retryAfter: string | undefined;
  /** The reference that the answer speaks of. */
  readonly answeredReference: string | undefined;
  readonly text: string;
}

const CALLER: DemoWorkspace = 'call-centre';

/** Calls the plain service through one entry, once. */
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

/** How a generation ended for its caller. */
export interface GenerateResult {
  readonly status: number;
  readonly outcome: 'whole' | 'notRun' | 'outcomeUnknown' | 'broken';
  /** Why, as the entry says; undefined for an answer. */
  readonly reason: string | undefined;
  readonly versionDigest: string;
  readonly text: string;
  readonly tokens: number;
}

/** What a caller asks of the model. */
export interface Prompt {
  readonly prompt: string;
  readonly maximumTokens?: number;
  readonly deadline?: string;
  readonly model?: string;
}

/** Asks the model through one entry and reads the stream to its end. */
export async function generate(
  url: string,
  {prompt, maximumTokens = 16, deadline = '20s', model = DEMO_MODEL}: Prompt,
): Promise<GenerateResult> {
  const reply = await request(`${url}/v1/models/${model}/generate`, {
    method: 'POST',
    // These tests are about whole answers: no request is refused for coming
    // later than the usual time for a first token.
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

/** A connection that is cut gives what came before the cut. */
async function readUntilEnd(body: AsyncIterable<Buffer>): Promise<string> {
  const pieces: Buffer[] = [];
  try {
    for await (const piece of body) pieces.push(piece);
  } catch {
    // The stream is then judged by its last line.
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
