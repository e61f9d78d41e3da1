import {credentials} from '@grpc/grpc-js';
import {FleetAgentClient, FleetEntryClient} from '@hibiscusbeam/wire';

/** Maximum size of a message between processes of the site. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

const CHANNEL_OPTIONS = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 500,
};

/** A gRPC client that can be closed. */
interface Closable {
  readonly close: () => void;
}

/** One gRPC client for each address, opened on first use. */
export interface Channels<Client> {
  readonly at: (address: string) => Client;
  /** Closes the client of an address; the next use opens a new one. */
  readonly drop: (address: string) => void;
  /** Closes the clients of all other addresses. */
  readonly retain: (addresses: ReadonlySet<string>) => void;
  readonly close: () => void;
}

function createChannels<Client extends Closable>(
  open: (address: string) => Client,
): Channels<Client> {
  const clients = new Map<string, Client>();

  function drop(address: string): void {
    clients.get(address)?.close();
    clients.delete(address);
  }

  return {
    at: address => {
      const client = clients.get(address) ?? open(address);
      clients.set(address, client);
      return client;
    },
    drop,
    retain: addresses => {
      for (const address of [...clients.keys()]) {
        if (!addresses.has(address)) drop(address);
      }
    },
    close: () => {
      for (const address of [...clients.keys()]) drop(address);
    },
  };
}

/** Creates channels to entries. */
export function createEntryChannels(): Channels<FleetEntryClient> {
  return createChannels(
    address =>
      new FleetEntryClient(
        address,
        credentials.createInsecure(),
        CHANNEL_OPTIONS,
      ),
  );
}

/** Creates channels to agents. */
export function createAgentChannels(): Channels<FleetAgentClient> {
  return createChannels(
    address =>
      new FleetAgentClient(
        address,
        credentials.createInsecure(),
        CHANNEL_OPTIONS,
      ),
  );
}
