import {request} from 'undici';

/** An HTTP response with its body as text. */
export interface HttpReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Sends a request and reads the complete response. */
export async function exchange(
  method: 'GET' | 'PUT' | 'POST' | 'DELETE',
  url: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<HttpReply> {
  const isText = typeof body === 'string';
  const reply = await request(url, {
    method,
    body: body === undefined ? undefined : isText ? body : JSON.stringify(body),
    headers: {
      ...(body === undefined ? {} : {'content-type': 'application/json'}),
      ...headers,
    },
  });
  return {
    status: reply.statusCode,
    headers: reply.headers,
    text: await reply.body.text(),
  };
}

/** Sends a request and parses the JSON response; throws on status >= 400. */
export async function exchangeJson<Value>(
  method: 'GET' | 'PUT' | 'POST' | 'DELETE',
  url: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<Value> {
  const reply = await exchange(method, url, body, headers);
  if (reply.status >= 400) {
    throw new Error(`${method} ${url}: ${reply.status} ${reply.text}`);
  }
  return JSON.parse(reply.text) as Value;
}
