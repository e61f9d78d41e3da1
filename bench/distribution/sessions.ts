import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {PeerClient, SessionMessage} from '@hibiscusbeam/wire';
import type {SwarmDriver, SwarmPeer} from '@hibiscusbeam/daemon';

/** Bytes of the gRPC and HTTP/2 headers of one message. */
export const MESSAGE_HEADER_BYTES = 5 + 9;

interface MessageStream {
  readonly write: (message: SessionMessage) => boolean;
  readonly end: () => void;
  readonly on: (
    event: 'data' | 'end' | 'error',
    listener: (message: SessionMessage) => void,
  ) => unknown;
}

/** The sessions of one instance with its neighbours. */
export interface Sessions {
  /** Opens a session, unless the neighbour is responsible for opening it. */
  readonly connect: (peer: SwarmPeer) => void;
  readonly accept: (
    stream: ServerDuplexStream<SessionMessage, SessionMessage>,
  ) => void;
  readonly send: (instance: string, message: SessionMessage) => void;
  readonly count: () => number;
  readonly bytesSent: () => number;
  readonly close: () => void;
}

/** Creates the sessions of `self`; received messages go to the driver. */
export function createSessions(
  self: string,
  clientOf: (address: string) => PeerClient,
  driver: () => SwarmDriver,
): Sessions {
  const streams = new Map<string, MessageStream>();
  let bytesSent = 0;
  let closed = false;

  function write(stream: MessageStream, message: SessionMessage): void {
    bytesSent += sizeOf(message) + MESSAGE_HEADER_BYTES;
    stream.write(message);
  }

  function open(instance: string, stream: MessageStream): void {
    streams.set(instance, stream);
    driver().onPeerConnected(instance);
  }

  function listen(stream: MessageStream, known: string | undefined): void {
    let instance = known;
    stream.on('data', ({message}) => {
      if (message?.$case === 'hello') {
        instance = message.hello.instance;
        open(instance, stream);
        return;
      }
      if (message?.$case !== 'haveDelta' || instance === undefined) return;
      driver().onHaveDelta(instance, message.haveDelta);
    });
    const onClosed = () => {
      if (closed || instance === undefined) return;
      if (streams.get(instance) !== stream) return;
      streams.delete(instance);
      driver().onPeerGone(instance);
    };
    stream.on('end', onClosed);
    stream.on('error', onClosed);
  }

  return {
    connect(peer) {
      if (peer.instance <= self || streams.has(peer.instance)) return;
      const stream = clientOf(peer.address).session();
      listen(stream, peer.instance);
      write(stream, helloOf(self));
      open(peer.instance, stream);
    },
    accept: stream => listen(stream, undefined),
    send(instance, message) {
      const stream = streams.get(instance);
      if (stream !== undefined) write(stream, message);
    },
    count: () => streams.size,
    bytesSent: () => bytesSent,
    close() {
      closed = true;
      for (const stream of streams.values()) stream.end();
    },
  };
}

/** Computes the encoded size; encoding each message twice would cost CPU. */
function sizeOf({message}: SessionMessage): number {
  if (message?.$case !== 'haveDelta') return 0;
  const {versionDigest, gained} = message.haveDelta;
  const positions = gained.reduce(
    (bytes, position) => bytes + (position < 128 ? 1 : 2),
    0,
  );
  const tagAndLength = 2;
  return 3 * tagAndLength + versionDigest.length + positions;
}

function helloOf(instance: string): SessionMessage {
  const hello = {
    instance,
    role: 'agent',
    zone: '',
    region: '',
    address: '',
    incarnation: 1,
    target: undefined,
    callerAddress: '',
  };
  return {message: {$case: 'hello', hello}};
}
