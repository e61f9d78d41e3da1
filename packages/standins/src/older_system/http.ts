import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';

/** Max. number of calls in flight to one address. */
const CONNECTIONS_PER_ADDRESS = 8;

/** HTTP client of the older system. */
export interface OlderSystemHttp {
  readonly getJson: <Body>(url: string, signal: AbortSignal) => Promise<Body>;
  readonly getBytes: (url: string, signal: AbortSignal) => Promise<Uint8Array>;
  readonly putBytes: (
    url: string,
    bytes: Uint8Array,
    signal: AbortSignal,
  ) => Promise<void>;
  /** Whether it was accepted; resolves once the answer is received whole. */
  readonly postJson: (
    url: string,
    body: unknown,
    headers?: Readonly<Record<string, string>>,
  ) => Promise<boolean>;
  readonly close: () => Promise<void>;
}

async function expectSuccess(
  response: Dispatcher.ResponseData,
): Promise<Dispatcher.ResponseData> {
  if (response.statusCode < 400) return response;
  await response.body.dump();
  throw new Error(`status ${response.statusCode}`);
}

/** Creates a client with its own connections. */
export function createOlderSystemHttp(): OlderSystemHttp {
  const dispatcher = new Agent({connections: CONNECTIONS_PER_ADDRESS});
  const giverHeader = {'x-order-giver': 'older-system'};

  async function get(url: string, signal: AbortSignal) {
    return expectSuccess(await request(url, {dispatcher, signal}));
  }

  return {
    getJson: async <Body>(url: string, signal: AbortSignal) => {
      const response = await get(url, signal);
      return (await response.body.json()) as Body;
    },
    getBytes: async (url, signal) => (await get(url, signal)).body.bytes(),
    putBytes: async (url, body, signal) => {
      const headers = {'content-type': 'application/octet-stream'};
      const response = await expectSuccess(
        await request(url, {dispatcher, method: 'PUT', headers, body, signal}),
      );
      await response.body.dump();
    },
    postJson: async (url, body, headers) => {
      const response = await request(url, {
        dispatcher,
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          ...giverHeader,
          ...headers,
        },
        body: JSON.stringify(body),
      });
      await response.body.text();
      return response.statusCode < 400;
    },
    close: () => dispatcher.destroy(),
  };
}
