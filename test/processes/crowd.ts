import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** What each member of a crowd sends on its connection. */
export interface CrowdScript {
  readonly members: number;
  readonly head: string;
  /** Sent after the head, each part in a write of its own. */
  readonly parts: () => Iterable<Buffer>;
}

/** Callers that don't behave, each on a connection that stays open. */
export interface Crowd {
  /**
   * Resolves once each member has sent its parts or lost its connection, or
   * none of them can send any more.
   */
  readonly hasSent: () => Promise<void>;
  readonly close: () => void;
}

/** Time without any progress after which nobody can send any more. */
const STALLED_AFTER_MS = 2_000;

const CHECK_PERIOD_MS = 50;

/** Opens the connections of a crowd at once, and starts to send on them. */
export function startCrowd(address: string, script: CrowdScript): Crowd {
  const [host, port] = address.split(':');
  let unfinished = script.members;
  let progressedAt = performance.now();

  function startMember(): Socket {
    const socket = connect(Number(port), host);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    // Answers are read, so that only what is sent matters.
    socket.resume();
    void sendAll(socket).then(() => (unfinished -= 1));
    return socket;
  }

  async function sendAll(socket: Socket): Promise<void> {
    const closed = new Promise<void>(resolve =>
      socket.once('close', () => resolve()),
    );
    for (const part of [Buffer.from(script.head), ...script.parts()]) {
      if (socket.destroyed) return;
      const sent = new Promise<void>(resolve =>
        socket.write(part, () => resolve()),
      );
      await Promise.race([sent, closed]);
      progressedAt = performance.now();
    }
  }

  const sockets = Array.from({length: script.members}, startMember);
  return {
    hasSent: async () => {
      while (
        unfinished > 0 &&
        performance.now() - progressedAt < STALLED_AFTER_MS
      ) {
        await sleep(CHECK_PERIOD_MS);
      }
    },
    close: () => sockets.forEach(socket => socket.destroy()),
  };
}
