import {request} from 'undici';
import type {Dispatcher} from 'undici';

/** An answer, its body parsed by line (NDJSON) or as a whole. */
export interface Answer {
  readonly status: number;
  readonly text: string;
}

/** Sends one request; `body` goes as JSON, or as it is if it is bytes. */
export async function send(
  method: Dispatcher.HttpMethod,
  url: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<Answer> {
  const isBytes = body instanceof Uint8Array;
  const type = isBytes ? 'application/octet-stream' : 'application/json';
  const response = await request(`http://${url}`, {
    method,
    headers: {...headers, ...(body !== undefined && {'content-type': type})},
    body: body === undefined || isBytes ? body : JSON.stringify(body),
  });
  return {status: response.statusCode, text: await response.body.text()};
}

/** Sends one request and gives its answer's JSON. */
export async function sendJson(
  ...parameters: Parameters<typeof send>
): Promise<unknown> {
  return JSON.parse((await send(...parameters)).text);
}
