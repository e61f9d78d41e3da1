import {credentials, type Metadata} from '@grpc/grpc-js';
import {AgentClient, PeerClient} from '@hibiscusbeam/wire';
import {siteKeyMetadata} from './site_key';

/** Max size of a message between processes of the site. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

const CHANNEL_OPTIONS = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  // Detects a lost link before the kernel's retransmissions time out.
  'grpc.keepalive_time_ms': 10_000,
  'grpc.keepalive_timeout_ms': 3_000,
  // Reconnects to a restarted process within a second or two.
  'grpc.initial_reconnect_backoff_ms': 200,
  'grpc.max_reconnect_backoff_ms': 2_000,
  'grpc.min_reconnect_backoff_ms': 200,
};

/** gRPC clients for one process of the site. */
export interface SiteClients {
  readonly peer: PeerClient;
  readonly agent: AgentClient;
}

/** Clients for other processes, opened once for each address. */
export interface SiteClientPool {
  readonly metadata: Metadata;
  /** Clients for `address` (`IP:port`), opened on first use. */
  readonly at: (address: string) => SiteClients;
  /** Closes the clients for an address that is no longer needed. */
  readonly drop: (address: string) => void;
  readonly close: () => void;
}

/** Creates a pool of clients; `metadata` carries the site's key. */
export function createSiteClientPool(siteKey: string): SiteClientPool {
  const clients = new Map<string, SiteClients>();
  const metadata = siteKeyMetadata(siteKey);
  const open = (address: string): SiteClients => {
    const insecure = credentials.createInsecure();
    return {
      peer: new PeerClient(address, insecure, CHANNEL_OPTIONS),
      agent: new AgentClient(address, insecure, CHANNEL_OPTIONS),
    };
  };
  const drop = (address: string): void => {
    const existing = clients.get(address);
    if (existing === undefined) return;
    clients.delete(address);
    existing.peer.close();
    existing.agent.close();
  };
  return {
    metadata,
    at: address => {
      const existing = clients.get(address);
      if (existing !== undefined) return existing;
      const opened = open(address);
      clients.set(address, opened);
      return opened;
    },
    drop,
    close: () => {
      for (const address of [...clients.keys()]) drop(address);
    },
  };
}
