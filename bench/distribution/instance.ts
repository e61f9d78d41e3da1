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

/** Own connections for each instance, as between real machines. */
const CHANNEL_OPTIONS = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
};

/** What moves the weights of one instance. */
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

/** What a mover works with: the instance's links, store and sockets. */
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

/** One instance of the bench, with its own sockets and links. */
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
  /** Requests for chunks to other instances, with those refused. */
  readonly requests: () => number;
}

/** Name of the instance at a position. */
export function instanceName(position: number): string {
  return `agent-${String(position).padStart(4, '0')}`;
}

/** Starts one instance; `createMover` decides how it gets its weights. */
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
      // Field tag and length, then the digest; headers as of any message.
      requests += 1;
      requestBytes += digest.length + 2 + MESSAGE_HEADER_BYTES;
      const {agent} = clientOf(address);
      return paced(fetchChunkOverGrpc(agent, instance, digest, signal));
    },
  });

  function answer(call: ChunkCall): void {
    // Signs of life need the link as well.
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

/** Sends pieces at the link's rate; a faulty instance changes a byte. */
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

/** Answers a call with what `serve` gives, at the link's rate. */
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
