/**
 * An engine in a process of its own: `engine.cjs INSTANCE BEHAVIOUR`. It speaks
 * what the pages say, and tells its parent what it runs.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {sleep} from './waiting';

/** How an engine spoils an answer: with bytes that are no response. */
export type Spoiling =
  /** A failure whose body has no end and comes in chunks of one byte. */
  | 'crumbs'
  /** A stream of tokens that never form an event, each in a chunk. */
  | 'tokens';

/** What an engine does. */
export interface EngineBehaviour {
  /** Time of a plain answer, or until the first event of a stream, in ms. */
  readonly work: number;
  /** Events of a stream, and the pause between two in ms. */
  readonly events: number;
  readonly pause: number;
  /** One in this many answers has neither a length nor chunks; 0 for none. */
  readonly unframedOneIn: number;
  /** One in this many answers is spoilt; 0 for none. */
  readonly spoiltOneIn: number;
  readonly spoiling: Spoiling;
  /** Rate of the link of its machine, which all spoilt answers share. */
  readonly linkBytesPerSecond: number;
}

/** What an engine tells its parent. */
export type EngineMessage =
  | {readonly kind: 'listens'; readonly address: string}
  | {readonly kind: 'run'; readonly requestId: string; readonly path: string}
  /** How the answer to a request differs from a usual one. */
  | {
      readonly kind: 'answer';
      readonly requestId: string;
      readonly how: 'unframed' | 'spoilt' | 'whole';
    };

/** What its parent tells an engine. */
export type EngineCommand =
  /** Spoil answers from now on, or no more. */
  | {readonly kind: 'spoil'; readonly isOn: boolean}
  /** End, as after a planned shutdown. */
  | {readonly kind: 'exit'};

/** Interval between two writes of spoilt answers. */
const WRITE_PERIOD_MS = 10;

const SPOILT_CHUNKS = {crumbs: '1\r\n~\r\n', tokens: '4\r\ntok \r\n'} as const;

const [, , instance = '', behaviourText = '{}'] = process.argv;
const behaviour = JSON.parse(behaviourText) as EngineBehaviour;
const spoilt = new Set<Socket>();
let isSpoiling = false;
let answers = 0;
let spoilable = 0;

function tell(message: EngineMessage): void {
  process.send?.(message);
}

function isOneIn(count: number, oneIn: number): boolean {
  return oneIn > 0 && count % oneIn === 0;
}

async function serve(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  for await (const _part of request);
  const {headers} = request;
  const requestId = String(headers['x-hibiscusbeam-request-id']);
  const own = {'X-Hibiscusbeam-Request-Id': requestId};
  const expected = headers['x-hibiscusbeam-expect-instance'];
  if (expected !== undefined && expected !== instance) {
    return void response.writeHead(421, own).end();
  }
  tell({kind: 'run', requestId, path: String(request.url)});
  await sleep(behaviour.work);
  if (response.destroyed) return;
  const sealed = {...own, 'X-Hibiscusbeam-Server-Seal': `seal.${instance}`};
  answers += 1;
  if (isSpoiling) {
    spoilable += 1;
    if (isOneIn(spoilable, behaviour.spoiltOneIn)) {
      tell({kind: 'answer', requestId, how: 'spoilt'});
      return beginSpoilt(request.socket, sealed);
    }
  }
  if (isOneIn(answers, behaviour.unframedOneIn)) {
    tell({kind: 'answer', requestId, how: 'unframed'});
    response.useChunkedEncodingByDefault = false;
  }
  if (headers['x-hibiscusbeam-model'] === undefined) {
    return void response.writeHead(200, sealed).end(plainAnswerTo(requestId));
  }
  await stream(request, response, sealed);
  if (response.writableEnded) tell({kind: 'answer', requestId, how: 'whole'});
}

function plainAnswerTo(requestId: string): string {
  return `answer to ${requestId} `.padEnd(800, '.');
}

async function stream(
  request: IncomingMessage,
  response: ServerResponse,
  sealed: Record<string, string>,
): Promise<void> {
  response.writeHead(200, {...sealed, 'Content-Type': 'text/event-stream'});
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  for (let id = first; id <= behaviour.events; id += 1) {
    if (response.destroyed) return;
    response.write(`id: ${id}\ndata: ${'token '.repeat(6)}${id}\n\n`);
    await sleep(behaviour.pause);
  }
  response.end();
}

/** Sends a right header; what follows is no answer. */
function beginSpoilt(socket: Socket, sealed: Record<string, string>): void {
  const status = behaviour.spoiling === 'crumbs' ? '500 Failed' : '200 OK';
  const lines = Object.entries(sealed).map(line => line.join(': '));
  const head = [`HTTP/1.1 ${status}`, ...lines, 'Transfer-Encoding: chunked'];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  spoilt.add(socket);
  socket.once('close', () => spoilt.delete(socket));
}

/** Writes to the spoilt answers what the link takes in one period. */
function writeSpoilt(): void {
  const chunk = SPOILT_CHUNKS[behaviour.spoiling];
  const bytes = (behaviour.linkBytesPerSecond * WRITE_PERIOD_MS) / 1_000;
  for (const socket of spoilt) {
    if (socket.writableNeedDrain) continue;
    socket.write(chunk.repeat(Math.floor(bytes / spoilt.size / chunk.length)));
  }
}

const server = createServer((request, response) => {
  serve(request, response).catch(() => response.destroy());
});
server.on('connection', socket => socket.on('error', () => undefined));
server.listen(0, '127.0.0.1', () => {
  const {port} = server.address() as AddressInfo;
  tell({kind: 'listens', address: `127.0.0.1:${port}`});
});
setInterval(writeSpoilt, WRITE_PERIOD_MS);
process.on('message', (command: EngineCommand) => {
  if (command.kind === 'spoil') isSpoiling = command.isOn;
  else process.exit(0);
});
process.on('disconnect', () => process.exit(0));
