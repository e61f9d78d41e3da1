import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

const BITS_PER_BYTE = 8;

/** A loopback proxy whose connections share one rate. */
export interface NarrowLink {
  readonly address: string;
  /** Bytes that it has delivered to callers so far. */
  readonly delivered: () => number;
  readonly close: () => Promise<void>;
}

/**
 * Starts a link to `target` (`IP:port`) that delivers `megabits` a second to
 * all callers together.
 */
export async function startNarrowLink(
  target: string,
  megabits: number,
): Promise<NarrowLink> {
  const bytesPerMillisecond = (megabits * 1e6) / BITS_PER_BYTE / 1_000;
  const [host, port] = target.split(':');
  const sockets = new Set<Socket>();
  let freeAt = 0;
  let delivered = 0;

  /** Calls `deliver` once the link has carried the bytes. */
  function carry(bytes: number, deliver: () => void): void {
    const now = performance.now();
    freeAt = Math.max(now, freeAt) + bytes / bytesPerMillisecond;
    delivered += bytes;
    setTimeout(deliver, freeAt - now);
  }

  function track(socket: Socket, peer: Socket): void {
    sockets.add(socket);
    socket.on('error', () => peer.destroy());
    socket.on('close', () => {
      sockets.delete(socket);
      peer.destroy();
    });
  }

  const server = createServer({allowHalfOpen: true}, caller => {
    const store = connect({host, port: Number(port), allowHalfOpen: true});
    track(caller, store);
    track(store, caller);
    caller.pipe(store);
    store.on('data', chunk => {
      store.pause();
      carry(chunk.length, () => {
        caller.write(chunk);
        store.resume();
      });
    });
    store.on('end', () => carry(0, () => caller.end()));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    delivered: () => delivered,
    close: () => {
      for (const socket of sockets) socket.destroy();
      return new Promise(resolve => server.close(() => resolve()));
    },
  };
}
