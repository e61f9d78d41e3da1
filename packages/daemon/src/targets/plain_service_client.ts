import * as z from 'zod';
import {createTargetExchange, parseJson} from './http_exchange';
import {Ok} from 'ts-results';
import type {PlainServiceClient} from './types';

/** Max concurrent calls to one plain service. */
const MAX_CONNECTIONS = 64;

const answerSchema = z.object({attempt: z.string(), result: z.unknown()});

/** Creates an HTTP client of the plain service at `url`. */
export function createPlainServiceClient(url: string): PlainServiceClient {
  const exchange = createTargetExchange(url, MAX_CONNECTIONS);
  return {
    call: async (attempt, operation, content, signal) => {
      const received = await exchange.bytes({
        method: 'POST',
        path: `/calls/${encodeURIComponent(operation)}`,
        body: content,
        headers: {'content-type': 'application/json', 'x-attempt': attempt},
        signal,
      });
      if (received.err) return received;
      const answer = parseJson(received.val, answerSchema);
      if (answer.err) return answer;
      const {attempt: answered, result} = answer.val;
      const text = JSON.stringify(result ?? null);
      return Ok({attempt: answered, content: Buffer.from(text)});
    },
    reachable: async () => {
      const reply = await exchange.bytes({method: 'GET', path: '/runs'});
      return reply.ok;
    },
    close: exchange.close,
  };
}
