import {
  credentials,
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type ServerWritableStream,
} from '@grpc/grpc-js';
import type {Digest, IdentifiedManifest} from '@hibiscusbeam/core';
import {
  handleFetchChunk,
  fetchChunkOverGrpc,
  type SwarmPeer,
} from '@hibiscusbeam/daemon';
import {
  AgentClient,
  AgentService,
  PeerClient,
  PeerService,
  type ChunkPiece,
  type FetchChunkRequest,
  type SessionMessage,
} from '@hibiscusbeam/wire';
import {Ok} from 'ts-results';
import {createLink, type Link} from './links';
import {createMemoryStore, type MemoryStore} from './memory_store';
import type {BenchOptions} from './options';
import {createOriginClient} from './origin';
import {MESSAGE_HEADER_BYTES, type Sessions} from './sessions';

type ChunkCall = ServerWritableStream<FetchChunkRequest, ChunkPiece>;

/** Separate connections for each instance, as between real machines. */
const CHANNEL_OPTIONS = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
};

/** Fetches the weights of one instance and serves them to others. */
export interface Mover {
  readonly start: (peers: readonly SwarmPeer[]) => void;
  readonly want: (
    version: IdentifiedManifest,
    superseded: string | undefined,
  ) => Promise<boolean>;
  readonly answer: (call: ChunkCall) => Promise<void>;
  readonly sessions?: Sessions;
  readonly neighbourCount: () => number;
  readonly crossZoneBytes: () => number;
  readonly cutOffs: () => number;
  readonly stop: () => void;
}

/** The links, store and sockets of an instance, as used by its mover. */
export interface InstancePorts {
  readonly position: number;
  readonly instance: string;
  readonly zone: string;
  readonly options: BenchOptions;
  readonly store: MemoryStore;
  readonly uplink: Link;
  readonly isCorrupting: () => boolean;
  readonly fromOrigin: ReturnType<typeof createOriginClient>;
  readonly fromPeer: (
    address: string,
    digest: Digest,
    signal: AbortSignal,
  ) => ReturnType<typeof fetchChunkOverGrpc>;
  readonly peerClient: (address: string) => PeerClient;
}

/** An instance of the benchmark with its own sockets and links. */
export interface BenchInstance {
  readonly peer: SwarmPeer;
  readonly store: MemoryStore;
  readonly mover: Mover;
  readonly injectFault: (
    fault: 'kill' | 'stall' | 'corrupt',
    time: number,
  ) => void;
  readonly isAlive: () => boolean;
  readonly requestBytes: () => number;
  /** Chunk requests to other instances, including refused ones. */
  readonly requests: () => number;
}

/** Name of the instance at a position, counted from 0. */
export function instanceName(position: number): string {
  return `agent-${String(position).padStart(4, '0')}`;
}

/** Starts an instance; `createMover` selects how it fetches its weights. */
export async function startInstance(
  position: number,
  options: BenchOptions,
  originUrl: string,
  createMover: (ports: InstancePorts) => Mover,
): Promise<BenchInstance> {
  const instance = instanceName(position);
  const zone = `zone-${position % options.zones}`;
  const versionBytes = options.chunks * options.chunkBytes;
  const linkRate = (2 * versionBytes) / options.windowSeconds;
  const uplink = createLink(linkRate, options.chunkBytes);
  const downlink = createLink(linkRate, options.chunkBytes);
  const store = createMemoryStore();
  const origin = createOriginClient(originUrl);
  const clients = new Map<string, {agent: AgentClient; peer: PeerClient}>();
  let corrupting = false;
  let alive = true;
  let requestBytes = 0;
  let requests = 0;

  function clientOf(address: string) {
    const known = clients.get(address);
    if (known !== undefined) return known;
    const insecure = credentials.createInsecure();
    const agent = new AgentClient(address, insecure, CHANNEL_OPTIONS);
    const options = {channelOverride: agent.getChannel()};
    const peer = new PeerClient(address, insecure, options);
    const created = {agent, peer};
    clients.set(address, created);
    return created;
  }

  async function* paced(
    pieces: ReturnType<typeof fetchChunkOverGrpc>,
  ): ReturnType<typeof fetchChunkOverGrpc> {
    for await (const piece of pieces) {
      if (piece.ok) await downlink.transfer(piece.val.length);
      yield piece;
    }
  }

  const mover = createMover({
    position,
    instance,
    zone,
    options,
    store,
    uplink,
    isCorrupting: () => corrupting,
    peerClient: address => clientOf(address).peer,
    fromOrigin: {
      async *chunk(digest, signal) {
        for await (const piece of origin.chunk(digest, signal)) {
          if (piece.ok) await downlink.transfer(piece.val.length);
          yield piece;
        }
      },
    },
    fromPeer(address, digest, signal) {
      // Field tag and length, the digest, and the headers of a message.
      requests += 1;
      requestBytes += digest.length + 2 + MESSAGE_HEADER_BYTES;
      const {agent} = clientOf(address);
      return paced(fetchChunkOverGrpc(agent, instance, digest, signal));
    },
  });

  function answer(call: ChunkCall): void {
    // Keep-alive pieces are empty; a frozen link must drop them too.
    const write = call.write.bind(call);
    call.write = (piece: ChunkPiece) =>
      (piece.content.length === 0 && uplink.isFrozen()) || write(piece);
    void mover.answer(call);
  }

  const server = new Server();
  server.addService(AgentService, {
    fetchChunk: answer,
  });
  server.addService(PeerService, {
    session: (stream: ServerDuplexStream<SessionMessage, SessionMessage>) =>
      mover.sessions?.accept(stream),
  });
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(
      '127.0.0.1:0',
      ServerCredentials.createInsecure(),
      (error, bound) => (error === null ? resolve(bound) : reject(error)),
    );
  });

  return {
    peer: {instance, zone, address: `127.0.0.1:${port}`, incarnation: 1},
    store,
    mover,
    requestBytes: () => requestBytes,
    requests: () => requests,
    isAlive: () => alive,
    injectFault(fault, time) {
      if (fault === 'corrupt') corrupting = true;
      if (fault === 'stall') {
        uplink.freeze(time);
        downlink.freeze(time);
      }
      if (fault !== 'kill') return;
      alive = false;
      mover.stop();
      mover.sessions?.close();
      server.forceShutdown();
      for (const {agent} of clients.values()) agent.close();
    },
  };
}

/** Sends pieces at the rate of the link; a corrupting instance flips a bit. */
export async function* sendPaced(
  ports: Pick<InstancePorts, 'uplink' | 'isCorrupting'>,
  pieces: AsyncIterable<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  for await (const piece of pieces) {
    await ports.uplink.transfer(piece.length);
    if (!ports.isCorrupting()) {
      yield piece;
      continue;
    }
    const bad = Buffer.from(piece);
    bad[0]! ^= 1;
    yield bad;
  }
}

/** Answers a call with the pieces from `serve`, at the rate of the link. */
export function answerPaced(
  ports: InstancePorts,
  call: ChunkCall,
  serve: Parameters<typeof handleFetchChunk>[1]['serveChunk'],
): Promise<void> {
  return handleFetchChunk(call, {
    async serveChunk(instance, digest, signal) {
      const served = await serve(instance, digest, signal);
      if (served.err) return served;
      return Ok(sendPaced(ports, served.val));
    },
  });
}
