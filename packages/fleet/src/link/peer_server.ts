import {Server, ServerCredentials} from '@grpc/grpc-js';
import {FleetAgentService, FleetEntryService} from '@hibiscusbeam/wire';
import type {FleetAgentServer, FleetEntryServer} from '@hibiscusbeam/wire';
import {createServer} from 'node:net';
import {capConnections} from './connection_cap';

/** gRPC server of a process. */
export interface PeerServer {
  readonly close: () => void;
}

/** Handlers for calls of other processes. */
export type PeerHandlers =
  | {readonly role: 'entry'; readonly handlers: FleetEntryServer}
  | {readonly role: 'agent'; readonly handlers: FleetAgentServer};

/** Limits on what a connection may send; a peer has a few calls at a time. */
const LIMITS = {
  'grpc.max_concurrent_streams': 100,
  'grpc.max_receive_message_length': 1024 * 1024,
};

/**
 * Opens the gRPC server at `address` (`IP:port`), for at most `maxConnections`
 * connections at the same time.
 */
export async function openPeerServer(
  address: string,
  peer: PeerHandlers,
  maxConnections: number,
): Promise<PeerServer> {
  const server = new Server(LIMITS);
  if (peer.role === 'entry') {
    server.addService(FleetEntryService, peer.handlers);
  } else server.addService(FleetAgentService, peer.handlers);
  const injector = server.createConnectionInjector(
    ServerCredentials.createInsecure(),
  );
  const listener = createServer({noDelay: true}, socket => {
    // Also without a session, which handles errors afterwards.
    socket.on('error', () => undefined);
    injector.injectConnection(socket);
  });
  capConnections(listener, maxConnections);
  const [host, port] = address.split(':');
  await new Promise<void>((resolve, reject) => {
    listener.once('error', reject);
    listener.listen(Number(port), host, resolve);
  });
  return {
    close: () => {
      listener.close();
      server.forceShutdown();
    },
  };
}
