import {Server, ServerCredentials} from '@grpc/grpc-js';
import {FleetAgentService, FleetEntryService} from '@hibiscusbeam/wire';
import type {FleetAgentServer, FleetEntryServer} from '@hibiscusbeam/wire';

/** gRPC server of a process. */
export interface PeerServer {
  readonly close: () => void;
}

/** Handlers for calls of other processes. */
export type PeerHandlers =
  | {readonly role: 'entry'; readonly handlers: FleetEntryServer}
  | {readonly role: 'agent'; readonly handlers: FleetAgentServer};

/** Opens the gRPC server at `address` (`IP:port`). */
export function openPeerServer(
  address: string,
  peer: PeerHandlers,
): Promise<PeerServer> {
  const server = new Server();
  if (peer.role === 'entry') {
    server.addService(FleetEntryService, peer.handlers);
  } else server.addService(FleetAgentService, peer.handlers);
  return new Promise((resolve, reject) =>
    server.bindAsync(address, ServerCredentials.createInsecure(), error => {
      if (error !== null) reject(error);
      else resolve({close: () => server.forceShutdown()});
    }),
  );
}
