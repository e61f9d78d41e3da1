import type {Server, Socket} from 'node:net';

/**
 * Limits the open connections of `server`: the one on which the fewest bytes
 * have arrived is closed for a new one, since peers send all the time.
 */
export function capConnections(server: Server, maxConnections: number): void {
  const open = new Set<Socket>();

  function closeLeastUsed(newcomer: Socket): void {
    let leastUsed: Socket | undefined;
    for (const socket of open) {
      if (socket === newcomer) continue;
      leastUsed ??= socket;
      if (socket.bytesRead < leastUsed.bytesRead) leastUsed = socket;
    }
    leastUsed?.destroy();
  }

  server.on('connection', (socket: Socket) => {
    open.add(socket);
    socket.once('close', () => open.delete(socket));
    if (open.size > maxConnections) closeLeastUsed(socket);
  });
}
