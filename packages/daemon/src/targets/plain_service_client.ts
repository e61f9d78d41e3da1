import {z} from 'zod';
import {createTargetExchange, parseJson} from './http_exchange';
import {Err, Ok} from 'ts-results';
import type {PlainServiceClient} from './types';

/** Calls that run on one plain service at a time, at most. */
const CONNECTIONS = 64;

const ANSWER = z.object({attempt: z.string(), result: z.unknown()});

/** HTTP client of the plain service at `url`. */
export function createPlainServiceClient(url: string): PlainServiceClient {
  const exchange = createTargetExchange(url, CONNECTIONS);
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
      const answer = parseJson(received.val, ANSWER);
      if (answer.err) return answer;
      // Answers may come crossed: another attempt's result on this connection
      // would show to the caller as somebody else's answer.
      if (answer.val.attempt !== attempt) {
        return Err({kind: 'malformed', detail: 'answer to another attempt'});
      }
      return Ok(Buffer.from(JSON.stringify(answer.val.result)));
    },
    reachable: async () => {
      const reply = await exchange.bytes({method: 'GET', path: '/runs'});
      return reply.ok;
    },
    close: exchange.close,
  };
}
