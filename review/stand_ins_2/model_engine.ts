/**
 * A model engine that loads weights from its staging area:
 * `model_engine.cjs INSTANCE BEHAVIOUR`. Nothing else differs from the pages.
 */
import {createHash} from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {sleep} from './waiting';
import {chunkOf} from './weights';

/** What a model engine does. */
export interface ModelEngineBehaviour {
  readonly model: string;
  /** The version that it holds and has staged at its start. */
  readonly version: number;
  readonly chunks: number;
  readonly slots: number;
  /** Time until the first event of a stream, in ms. */
  readonly work: number;
  readonly events: number;
  readonly pause: number;
  /** Time that a load takes, in ms. */
  readonly warm: number;
}

/** What a model engine tells its parent. */
export type ModelEngineMessage =
  | {readonly kind: 'listens'; readonly address: string}
  /** A request has reached the engine, which holds `version`. */
  | {readonly kind: 'run'; readonly requestId: string; readonly version: number}
  | {
      readonly kind: 'holds';
      readonly version: number;
      readonly isWhole: boolean;
    };

const [, , instance = '', behaviourText = '{}'] = process.argv;
const behaviour = JSON.parse(behaviourText) as ModelEngineBehaviour;
const {model, chunks, slots} = behaviour;
const staged = new Map<number, Buffer>();
for (let position = 0; position < chunks; position += 1) {
  staged.set(position, chunkOf(behaviour.version, position));
}
let held = behaviour.version;
let running = 0;
let isLoading = false;
let sequence = 0;

function tell(message: ModelEngineMessage): void {
  process.send?.(message);
}

async function serve(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  const body = Buffer.concat(parts);
  const url = new URL(request.url ?? '/', 'http://engine');
  const position = Number(url.searchParams.get('Num'));
  switch (url.pathname) {
    case '/report':
      return sendJson(response, report());
    case `/stage-put/${model}`:
      staged.set(position, body);
      return void response.writeHead(200).end();
    case `/stage-get/${model}`:
      if (!url.searchParams.has('Num')) {
        return sendJson(response, {held: [...staged.keys()]});
      }
      return sendStaged(response, position);
    case '/order':
      return takeOrder(response, JSON.parse(body.toString()) as Order);
    default:
      return run(request, response);
  }
}

interface Order {
  readonly Operation: string;
  readonly Model: string;
  readonly Version: number;
}

function report(): object {
  return {
    Stage: 'both',
    Models: [{Name: model, Version: held, Adapters: []}],
    Busy: isLoading,
    Sequence: sequence,
    Waiting: 0,
    Running: running,
    KvUsed: 0,
    KvTotal: 1_640_000,
    Handles: 0,
    pace: 1,
  };
}

function sendJson(response: ServerResponse, value: object): void {
  response.writeHead(200, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(value));
}

function sendStaged(response: ServerResponse, position: number): void {
  const bytes = staged.get(position);
  response.writeHead(bytes === undefined ? 404 : 200).end(bytes);
}

function takeOrder(response: ServerResponse, order: Order): void {
  const isKnown = order.Operation === 'start' && order.Model === model;
  if (!isKnown) return void response.writeHead(400).end();
  if (isLoading) return void response.writeHead(409).end();
  if (order.Version === held) return void response.writeHead(200).end();
  sequence += 1;
  isLoading = true;
  const taken = new Map(staged);
  response.writeHead(202).end();
  void load(order.Version, taken);
}

/** Loads what was staged when the order was accepted, after what is running. */
async function load(
  version: number,
  taken: ReadonlyMap<number, Buffer>,
): Promise<void> {
  while (running > 0) await sleep(10);
  await sleep(behaviour.warm);
  held = version;
  isLoading = false;
  const isWhole = Array.from({length: chunks}, (_, position) =>
    digestOf(taken.get(position)),
  ).every(
    (digest, position) => digest === digestOf(chunkOf(version, position)),
  );
  tell({kind: 'holds', version, isWhole});
}

function digestOf(bytes: Buffer | undefined): string {
  return createHash('sha256')
    .update(bytes ?? '')
    .digest('hex');
}

async function run(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const {headers} = request;
  const requestId = String(headers['x-hibiscusbeam-request-id']);
  const own = {'X-Hibiscusbeam-Request-Id': requestId};
  const expected = headers['x-hibiscusbeam-expect-instance'];
  const version = headers['x-hibiscusbeam-expect-version'];
  const isOther = expected !== undefined && expected !== instance;
  if (isOther || (version !== undefined && Number(version) !== held)) {
    return void response.writeHead(421, own).end();
  }
  if (isLoading || running >= slots) {
    const notRun = {...own, 'X-Hibiscusbeam-Not-Executed': '1'};
    return void response.writeHead(503, notRun).end();
  }
  running += 1;
  let isOver = false;
  const end = (): void => {
    if (!isOver) running -= 1;
    isOver = true;
  };
  response.once('close', end);
  tell({kind: 'run', requestId, version: held});
  await sleep(behaviour.work);
  response.writeHead(200, {
    ...own,
    'X-Hibiscusbeam-Server-Seal': `seal.${instance}`,
    'X-Hibiscusbeam-Weight-Versions': String(held),
    'Content-Type': 'text/event-stream',
  });
  const first = Number(headers['last-event-id'] ?? 0) + 1;
  for (let id = first; id <= behaviour.events; id += 1) {
    if (response.destroyed) return;
    response.write(`id: ${id}\ndata: ${'token '.repeat(6)}${id}\n\n`);
    await sleep(behaviour.pause);
  }
  response.end();
  end();
}

const server = createServer((request, response) => {
  serve(request, response).catch(() => response.destroy());
});
server.on('connection', socket => socket.on('error', () => undefined));
server.listen(0, '127.0.0.1', () => {
  const {port} = server.address() as AddressInfo;
  tell({kind: 'listens', address: `127.0.0.1:${port}`});
});
process.on('disconnect', () => process.exit(0));
