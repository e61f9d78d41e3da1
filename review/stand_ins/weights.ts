import {createHash} from 'node:crypto';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** The weights of the small deployments. */
export const PIECES = 48;
const PIECE_BYTES = 49_152;
export const LAYERS = 16;
const WARM_MS = 300;

/** How long a piece may have been spoilt before it is taken. */
const SPOILT_EXCUSE_MS = 3_000;

/** A piece of a version's weights. */
export function pieceOf(version: number, position: number): Buffer {
  return Buffer.alloc(PIECE_BYTES, `version ${version} piece ${position} `);
}

/** A source of weights. */
export interface Origin {
  readonly address: string;
  readonly close: () => void;
}

/** Starts an origin that has all versions. */
export async function startOrigin(): Promise<Origin> {
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://origin');
    const version = Number(url.searchParams.get('Version') ?? 1);
    if (url.pathname.startsWith('/manifest/')) {
      const Digests = Array.from({length: PIECES}, (_, position) =>
        createHash('sha256').update(pieceOf(version, position)).digest('hex'),
      );
      const Model = url.pathname.split('/').at(-1);
      const manifest = {
        Model,
        Version: version,
        ChunkBytes: PIECE_BYTES,
        layers: LAYERS,
        Digests,
      };
      response.setHeader('Content-Type', 'application/json');
      response.end(JSON.stringify(manifest));
      return;
    }
    const position = Number(url.searchParams.get('Num'));
    response.end(pieceOf(version, position));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** The staging area and the loaded layers of one engine. */
export interface EngineWeights {
  readonly handle: (
    path: string,
    body: Buffer,
    response: ServerResponse,
  ) => Promise<boolean>;
  readonly version: () => number;
  /** Turns a staged piece bad. */
  readonly spoil: (position: number) => void;
  /** Layers that were taken from pieces spoilt for over 3 s, and why. */
  readonly badLayers: () => readonly string[];
}

/** Options of the weights of an engine. */
export interface EngineWeightsOptions {
  readonly add: (line: string) => void;
  /**
   * Called before the reply to each read of a staged piece, with whether all
   * pieces of `version` are staged.
   */
  readonly onRead: (position: number, newest: number | undefined) => void;
}

/** Creates the weights of an engine that holds and has staged version 1. */
export function createEngineWeights(
  options: EngineWeightsOptions,
): EngineWeights {
  const {add} = options;
  const staged = Array.from({length: PIECES}, (_, position) =>
    pieceOf(1, position),
  );
  const spoiltAt = new Map<number, number>();
  let version = 1;
  let isBusy = false;
  let sequence = 0;
  let badLayers: readonly string[] = [];

  /** The version of which all pieces are staged; undefined if they differ. */
  function stagedVersion(): number | undefined {
    const label = /^version (\d+) /.exec(staged[0]!.toString('latin1', 0, 20));
    const candidate = Number(label?.[1]);
    const isWhole = staged.every((piece, position) =>
      piece.equals(pieceOf(candidate, position)),
    );
    return isWhole ? candidate : undefined;
  }

  function takeLayers(wanted: number): readonly string[] {
    const bad: string[] = [];
    for (let layer = 0; layer < LAYERS; layer += 1) {
      const from = Math.floor((layer * PIECES) / LAYERS);
      const to = Math.ceil(((layer + 1) * PIECES) / LAYERS);
      for (let position = from; position < to; position += 1) {
        if (staged[position]!.equals(pieceOf(wanted, position))) continue;
        const age = performance.now() - (spoiltAt.get(position) ?? -Infinity);
        add(
          `layer ${layer} is taken with piece ${position} spoilt for ${Math.round(age)} ms`,
        );
        if (age > SPOILT_EXCUSE_MS) bad.push(`layer ${layer}`);
      }
    }
    return bad;
  }

  function order(body: Buffer, response: ServerResponse): void {
    const wanted = JSON.parse(body.toString()) as {Version: number};
    if (isBusy) return void response.writeHead(409).end();
    if (wanted.Version === version) return void response.writeHead(200).end();
    add(`order to load version ${wanted.Version} is accepted`);
    badLayers = takeLayers(wanted.Version);
    isBusy = true;
    sequence += 1;
    response.writeHead(202).end();
    setTimeout(() => {
      isBusy = false;
      version = wanted.Version;
      add(`engine holds version ${version}`);
    }, WARM_MS);
  }

  function report(response: ServerResponse): void {
    const layers = {From: 0, To: LAYERS, Version: version};
    response.setHeader('Content-Type', 'application/json');
    response.end(
      JSON.stringify({
        Stage: 'both',
        Models: [{Name: 'model', Version: version, Adapters: [], layers}],
        Busy: isBusy,
        Sequence: sequence,
        Waiting: 0,
        Running: 0,
        KvUsed: 0,
        KvTotal: 1_640_000,
        Handles: 0,
        pace: 1,
      }),
    );
  }

  async function handle(
    path: string,
    body: Buffer,
    response: ServerResponse,
  ): Promise<boolean> {
    const url = new URL(path, 'http://engine');
    const position = url.searchParams.get('Num');
    if (url.pathname === '/report') report(response);
    else if (url.pathname === '/order') order(body, response);
    else if (url.pathname.startsWith('/stage-put/')) {
      staged[Number(position)] = body;
      spoiltAt.delete(Number(position));
      response.end();
    } else if (url.pathname.startsWith('/stage-get/')) {
      if (position === null) {
        response.setHeader('Content-Type', 'application/json');
        response.end(JSON.stringify({held: [...staged.keys()]}));
        return true;
      }
      options.onRead(Number(position), stagedVersion());
      await sleep(1);
      response.end(staged[Number(position)]);
    } else return false;
    return true;
  }

  return {
    handle,
    version: () => version,
    spoil: position => {
      const spoilt = Buffer.from(staged[position]!);
      spoilt[0] = spoilt[0]! ^ 0xff;
      staged[position] = spoilt;
      spoiltAt.set(position, performance.now());
      add(`piece ${position} turns bad`);
    },
    badLayers: () => badLayers,
  };
}
