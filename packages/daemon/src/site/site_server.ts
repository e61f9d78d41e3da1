import {
  Server,
  ServerCredentials,
  type handleServerStreamingCall,
  type handleUnaryCall,
  type ServerDuplexStream,
} from '@grpc/grpc-js';
import {
  AgentService,
  PeerService,
  type AgentServer,
  type DumpReply,
  type PullConfigurationReply,
  type PullConfigurationRequest,
  type ReportActivityReply,
  type SessionMessage,
} from '@hibiscusbeam/wire';
import type {SocketAddress} from '../types/settings';
import {formatAddress} from '../utils/address';
import {MAX_MESSAGE_BYTES} from './site_clients';
import {refuseWithoutSiteKey} from './site_key';

/** Handlers of calls from other processes of the site. */
export interface SiteHandlers {
  readonly session: (
    stream: ServerDuplexStream<SessionMessage, SessionMessage>,
  ) => void;
  readonly pullConfiguration: (
    request: PullConfigurationRequest,
  ) => PullConfigurationReply;
  readonly reportActivity: () => ReportActivityReply;
  readonly dump: () => DumpReply;
  /** Present on agents only. */
  readonly agent?: AgentServer;
}

/** A running gRPC server. */
export interface SiteServer {
  readonly address: SocketAddress;
  /** Accepts no new calls and resolves when the running ones have ended. */
  readonly drain: () => Promise<void>;
  /** Ends every call at once. */
  readonly close: () => void;
}

/** Options of {@link startSiteServer}. */
export interface SiteServerOptions {
  readonly listen: SocketAddress;
  readonly siteKey: string;
  readonly handlers: SiteHandlers;
  /** Called with the method of each call without the site's key. */
  readonly onRefused: (method: string) => void;
}

/** Serves the site's protocol to callers that send the site's key. */
export async function startSiteServer(
  options: SiteServerOptions,
): Promise<SiteServer> {
  const server = new Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
    'grpc.keepalive_time_ms': 10_000,
    'grpc.keepalive_timeout_ms': 3_000,
  });
  const guard = createGuard(options);
  const {handlers} = options;
  server.addService(PeerService, {
    session: (stream: ServerDuplexStream<SessionMessage, SessionMessage>) => {
      const refusal = guard.refusal('session', stream);
      if (refusal !== undefined) stream.emit('error', refusal);
      else handlers.session(stream);
    },
    pullConfiguration: guard.unary('pullConfiguration', (call, callback) =>
      callback(null, handlers.pullConfiguration(call.request)),
    ),
    reportActivity: guard.unary('reportActivity', (_call, callback) =>
      callback(null, handlers.reportActivity()),
    ),
    dump: guard.unary('dump', (_call, callback) =>
      callback(null, handlers.dump()),
    ),
  });
  if (handlers.agent !== undefined) {
    server.addService(AgentService, {
      serve: guard.streaming('serve', handlers.agent.serve),
      collect: guard.streaming('collect', handlers.agent.collect),
      tombstone: guard.unary('tombstone', handlers.agent.tombstone),
      fetchChunk: guard.streaming('fetchChunk', handlers.agent.fetchChunk),
    });
  }
  const port = await bind(server, options.listen);
  return {
    address: {host: options.listen.host, port},
    drain: () => new Promise(resolve => server.tryShutdown(() => resolve())),
    close: () => server.forceShutdown(),
  };
}

function createGuard(options: SiteServerOptions) {
  const refusal = (
    method: string,
    call: {metadata: import('@grpc/grpc-js').Metadata},
  ) => {
    const refused = refuseWithoutSiteKey(call.metadata, options.siteKey);
    if (refused !== undefined) options.onRefused(method);
    return refused;
  };
  return {
    refusal,
    unary:
      <Request, Reply>(
        method: string,
        handler: handleUnaryCall<Request, Reply>,
      ): handleUnaryCall<Request, Reply> =>
      (call, callback) => {
        const refused = refusal(method, call);
        if (refused !== undefined) callback(refused);
        else handler(call, callback);
      },
    streaming:
      <Request, Reply>(
        method: string,
        handler: handleServerStreamingCall<Request, Reply>,
      ): handleServerStreamingCall<Request, Reply> =>
      call => {
        const refused = refusal(method, call);
        if (refused !== undefined) call.emit('error', refused);
        else handler(call);
      },
  };
}

function bind(server: Server, listen: SocketAddress): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(
      formatAddress(listen),
      ServerCredentials.createInsecure(),
      (error, port) => {
        if (error === null) resolve(port);
        else reject(error);
      },
    );
  });
}
