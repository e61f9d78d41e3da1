import {request} from 'undici';
import type {Dispatcher} from 'undici';

/** Status and body of an answer. */
export interface Answer {
  readonly status: number;
  readonly text: string;
}

/** Sends one request; `body` is sent as JSON, or unchanged if it is bytes. */
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

/** Sends one request and parses its answer as JSON. */
export async function sendJson(
  ...parameters: Parameters<typeof send>
): Promise<unknown> {
  return JSON.parse((await send(...parameters)).text);
}
