import {createHash} from 'node:crypto';
import {exchange} from './site/http';
import {DEMO_KEYS, type DemoWorkspace} from './site/settings_files';

/** The answer of a model as received by the caller. */
export interface ModelAnswer {
  readonly status: number;
  readonly outcome: 'answered' | 'notRun' | 'outcomeUnknown' | 'broken';
  readonly versionDigest: string | undefined;
  readonly text: string;
  readonly tokens: number;
}

/** The answer of a plain service as received by the caller. */
export interface CallAnswer {
  readonly status: number;
  readonly outcome: 'answered' | 'notRun' | 'outcomeUnknown' | 'refused';
  readonly text: string;
}

interface StreamLine {
  readonly kind: string;
  readonly outcome?: string;
  readonly versionDigest?: string;
  readonly text?: string;
  readonly count?: number;
  readonly digest?: string;
}

function authorizationHeader(
  workspace: DemoWorkspace,
): Readonly<Record<string, string>> {
  return {authorization: `Bearer ${DEMO_KEYS.workspaces[workspace]}`};
}

/** Sends a generate request and reads the stream to its end. */
export async function callModel(
  entryUrl: string,
  workspace: DemoWorkspace,
  model: string,
  prompt: string,
  maximumTokens = 16,
): Promise<ModelAnswer> {
  const reply = await exchange(
    'POST',
    `${entryUrl}/v1/models/${model}/generate`,
    {prompt, maximumTokens, deadline: '10s'},
    authorizationHeader(workspace),
  );
  const lines = reply.text
    .split('\n')
    .filter(line => line !== '')
    .map(line => JSON.parse(line) as StreamLine);
  const tokens = lines.filter(line => line.kind === 'token');
  const text = tokens.map(line => line.text ?? '').join('');
  const last = lines.at(-1);
  return {
    status: reply.status,
    outcome: generateOutcome(last, tokens.length, text),
    versionDigest: lines.find(line => line.kind === 'started')?.versionDigest,
    text,
    tokens: tokens.length,
  };
}

/** An answer is complete if its end line has the right count and digest. */
function generateOutcome(
  last: StreamLine | undefined,
  tokens: number,
  text: string,
): ModelAnswer['outcome'] {
  if (last?.outcome === 'notRun') return 'notRun';
  if (last?.outcome === 'outcomeUnknown') return 'outcomeUnknown';
  if (last?.kind !== 'end' || last.count !== tokens) return 'broken';
  const digest = createHash('sha256').update(text, 'utf8').digest('hex');
  return last.digest === `sha256:${digest}` ? 'answered' : 'broken';
}

/** Calls an operation of a plain service. */
export async function callService(
  entryUrl: string,
  workspace: DemoWorkspace,
  path: {readonly service: string; readonly operation: string},
  body: unknown,
  idempotencyKey?: string,
): Promise<CallAnswer> {
  const reply = await exchange(
    'POST',
    `${entryUrl}/v1/services/${path.service}/calls/${path.operation}`,
    body,
    {
      ...authorizationHeader(workspace),
      'x-deadline': '5s',
      ...(idempotencyKey === undefined
        ? {}
        : {'idempotency-key': idempotencyKey}),
    },
  );
  return {
    status: reply.status,
    outcome: callOutcome(reply.status, reply.text),
    text: reply.text,
  };
}

function callOutcome(status: number, text: string): CallAnswer['outcome'] {
  if (status === 200) return 'answered';
  if (text.includes('"outcome":"notRun"')) return 'notRun';
  if (text.includes('"outcome":"outcomeUnknown"')) return 'outcomeUnknown';
  return 'refused';
}
