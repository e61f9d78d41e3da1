import {request} from 'undici';
import {HOST, KEY} from '../fleet/fixtures/host_site';
import type {CallerFailure, CallerRecord} from './invariants';
import {promptOf} from './prompt_parts';

/** Deadline that callers set for their requests. */
const DEADLINE_MS = 2_000;

/** Parameters of an attempt of a caller. */
export interface CallerAttempt {
  readonly id: number;
  /** Number of the entry that receives the request. */
  readonly entry: number;
  readonly address: string;
  readonly path: string;
  readonly body: string;
}

/** Sends an attempt and returns a record of its outcome. */
export async function sendAttempt({
  id,
  entry,
  address,
  path,
  body,
}: CallerAttempt): Promise<CallerRecord> {
  const requestId = `request-${id}`;
  const sentAt = performance.now();
  const attempt = {requestId, entry, path, sentAt};
  try {
    const reply = await request(`http://${address}${path}`, {
      method: 'POST',
      body,
      headers: headersOf(requestId, path),
      signal: AbortSignal.timeout(2 * DEADLINE_MS),
    });
    const text = await reply.body.text();
    const seal = reply.headers['x-hibiscusbeam-server-seal']?.toString();
    const status = reply.statusCode;
    const endedAt = performance.now();
    return {...attempt, status, failure: undefined, text, seal, endedAt};
  } catch (error) {
    const failure = failureOf(error);
    const none = {status: undefined, text: '', seal: undefined};
    return {...attempt, ...none, failure, endedAt: performance.now()};
  }
}

function headersOf(requestId: string, path: string): Record<string, string> {
  return {
    host: HOST,
    authorization: `Token ${KEY}`,
    'x-hibiscusbeam-request-id': requestId,
    'x-hibiscusbeam-deadline-ms': String(DEADLINE_MS),
    ...(path.startsWith('/stream/') && {
      'x-hibiscusbeam-model': 'model',
      'x-hibiscusbeam-prompt-prefix': promptOf(requestId, path),
    }),
  };
}

function failureOf(error: unknown): CallerFailure {
  const {code} = error as NodeJS.ErrnoException;
  return code === 'ECONNREFUSED' ? 'notConnected' : 'noAnswer';
}
