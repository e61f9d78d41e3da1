import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {AddressInfo} from 'node:net';

/** How an engine answers one request. */
export interface AnswerPlan {
  readonly events: number;
  /** Pause before each event, in milliseconds. */
  readonly pause: number;
  /** Without a length, the answer ends with its connection. */
  readonly isFramed: boolean;
  /** Resets the connection after this many events. */
  readonly resetAfter: number | undefined;
}

/** A model engine that answers requests with streams of events. */
export interface Engine {
  readonly instance: string;
  readonly address: string;
  readonly close: () => void;
}

/** Options of an engine. */
export interface EngineOptions {
  readonly instance: string;
  readonly plan: (requestId: string, instance: string) => AnswerPlan;
  /** Called when a run begins and when it ends. */
  readonly onRun: (requestId: string, event: string) => void;
  /** Answers calls that are not requests of callers; returns whether it did. */
  readonly intercept?: (
    path: string,
    body: Buffer,
    response: ServerResponse,
  ) => Promise<boolean>;
}

/** The event with a number, as each engine writes it. */
export function eventText(id: number): string {
  return `id: ${id}\ndata: token ${id}\n\n`;
}

/** All events of a stream. */
export function wholeStream(events: number): string {
  return Array.from({length: events}, (_, at) => eventText(at + 1)).join('');
}

/** Starts an engine on a free loopback port. */
export async function startEngine(options: EngineOptions): Promise<Engine> {
  const {instance, plan, onRun} = options;

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const isTaken = await options.intercept?.(
      request.url ?? '/',
      Buffer.concat(parts),
      response,
    );
    if (isTaken === true) return;
    const expected = request.headers['x-hibiscusbeam-expect-instance'];
    const requestId = String(request.headers['x-hibiscusbeam-request-id']);
    if (expected !== undefined && expected !== instance) {
      response.writeHead(421, {'X-Hibiscusbeam-Request-Id': requestId}).end();
      return;
    }
    onRun(requestId, `begins at ${instance}`);
    response.on('close', () => {
      const how = response.writableFinished ? 'ends' : 'is cut';
      onRun(requestId, `${how} at ${instance}`);
    });
    await stream(request, response, requestId);
  }

  async function stream(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ): Promise<void> {
    const {events, pause, isFramed, resetAfter} = plan(requestId, instance);
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    response.useChunkedEncodingByDefault = isFramed;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'X-Hibiscusbeam-Request-Id': requestId,
      'X-Hibiscusbeam-Server-Seal': `seal-of-${instance}`,
      'X-Hibiscusbeam-Weight-Versions': '1',
      Connection: 'close',
    });
    for (let id = first; id <= events; id += 1) {
      await sleep(pause);
      if (response.destroyed) return;
      if (resetAfter !== undefined && id > resetAfter) {
        onRun(requestId, `is reset by ${instance} after ${resetAfter} events`);
        request.socket.resetAndDestroy();
        return;
      }
      response.write(eventText(id));
    }
    response.end();
  }

  const server = createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {
    instance,
    address: `127.0.0.1:${port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
