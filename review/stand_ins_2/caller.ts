import {Agent, request as openRequest} from 'node:http';
import {HOST, KEY, MODEL} from './site';

/** How an attempt of a caller ended. */
export type CallerOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly seal: string | undefined;
      readonly text: string;
    }
  /** The connection ended after the header of the answer. */
  | {readonly kind: 'cut'; readonly text: string}
  /** The connection ended without a byte of an answer. */
  | {readonly kind: 'noAnswer'; readonly detail: string}
  /** No connection was established. */
  | {readonly kind: 'notConnected'}
  /** Nothing came before the caller left. */
  | {readonly kind: 'left'};

/** One attempt of a caller. */
export interface CallerAttempt {
  readonly requestId: string;
  readonly path: string;
  readonly isStream: boolean;
  /** Deadline of the caller, in milliseconds. */
  readonly deadline: number;
  /** How long the caller waits for the end of the answer. */
  readonly leavesAfter: number;
  readonly lastEventId?: string;
}

/** A caller that keeps its connection for the next request. */
export interface Caller {
  readonly send: (attempt: CallerAttempt) => Promise<CallerOutcome>;
  readonly close: () => void;
}

/** Creates a caller of the entry at `address`. */
export function createCaller(address: string): Caller {
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  const [host, port] = address.split(':');

  function send(attempt: CallerAttempt): Promise<CallerOutcome> {
    return new Promise(resolve => {
      let isConnected = false;
      let hasHead = false;
      let text = '';
      const body = `question of ${attempt.requestId}`;
      const request = openRequest({
        host,
        port,
        agent,
        method: 'POST',
        path: attempt.path,
        headers: {
          Host: HOST,
          Authorization: `Token ${KEY}`,
          'Content-Length': String(body.length),
          'X-Hibiscusbeam-Request-Id': attempt.requestId,
          'X-Hibiscusbeam-Deadline-Ms': String(attempt.deadline),
          ...(attempt.isStream && {
            'X-Hibiscusbeam-Model': MODEL,
            'X-Hibiscusbeam-Token-Count': '1330,144',
            'X-Hibiscusbeam-Prompt-Prefix': `a1:40,${attempt.requestId}:1290`,
          }),
          ...(attempt.lastEventId && {'Last-Event-Id': attempt.lastEventId}),
        },
      });
      const timer = setTimeout(() => {
        resolve({kind: 'left'});
        request.destroy();
      }, attempt.leavesAfter);
      const end = (outcome: CallerOutcome): void => {
        clearTimeout(timer);
        resolve(outcome);
      };
      const fail = (detail: string): void => {
        if (!isConnected) end({kind: 'notConnected'});
        else if (hasHead) end({kind: 'cut', text});
        else end({kind: 'noAnswer', detail});
      };
      request.on('socket', socket => {
        isConnected = !socket.connecting;
        if (!isConnected) socket.once('connect', () => (isConnected = true));
      });
      request.on('response', response => {
        hasHead = true;
        response.on('data', (part: Buffer) => (text += part.toString()));
        response.on('error', error => fail(error.message));
        response.on('close', () => fail('closed'));
        response.on('end', () => {
          if (!response.complete) return fail('incomplete');
          const seal = response.headers['x-hibiscusbeam-server-seal'];
          end({
            kind: 'answered',
            status: response.statusCode ?? 0,
            seal: seal?.toString(),
            text,
          });
        });
      });
      request.on('error', error => fail(error.message));
      request.end(body);
    });
  }

  return {send, close: () => agent.destroy()};
}
