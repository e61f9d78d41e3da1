import type {ClientDuplexStream, ServerDuplexStream} from '@grpc/grpc-js';
import {
  HEARTBEAT_PERIOD,
  type InstanceName,
  type Milliseconds,
} from '@hibiscusbeam/core';
import type {Hello, SessionMessage} from '@hibiscusbeam/wire';
import type {Log} from '../logs';
import {every} from '../runtime/clock';
import {handlePeerMessages} from '../runtime/peer_messages';
import type {SiteClientPool} from './site_clients';
import {isUsableHello} from './usable_peers';

/** Pause before a closed session is reopened. */
const REOPEN_PAUSE: Milliseconds = 500;

/** Messages queued on a session before it counts as stuck. */
const MAX_QUEUED_MESSAGES = 64;

type SessionStream =
  | ClientDuplexStream<SessionMessage, SessionMessage>
  | ServerDuplexStream<SessionMessage, SessionMessage>;

/** The other end of a session, as described in its hello. */
export type Peer = Readonly<Hello>;

/** Callbacks to the owner of the sessions. */
export interface SessionEvents {
  readonly opened: (peer: Peer) => void;
  readonly received: (peer: Peer, message: SessionMessage) => void;
  readonly closed: (peer: Peer) => void;
}

/** Options of {@link createSessions}. */
export interface SessionsOptions {
  readonly clients: SiteClientPool;
  readonly hello: () => Hello;
  readonly heartbeat: (peer: Peer) => SessionMessage;
  readonly events: SessionEvents;
  readonly log: Log;
}

/** Sessions with other processes, opened by either side. */
export interface Sessions {
  /** Opens sessions to these addresses and closes those to all others. */
  readonly setAddresses: (addresses: ReadonlySet<string>) => void;
  /** Accepts a session that the other side opened. */
  readonly accept: (
    stream: ServerDuplexStream<SessionMessage, SessionMessage>,
  ) => void;
  /** Sends to one peer; false if there is no session with it. */
  readonly send: (instance: InstanceName, message: SessionMessage) => boolean;
  readonly broadcast: (message: SessionMessage) => void;
  /** Sends a heartbeat on every session at once. */
  readonly sendHeartbeats: () => void;
  readonly peers: () => readonly Peer[];
  readonly close: (reason: string) => void;
}

interface Session {
  readonly stream: SessionStream;
  readonly address: string | undefined;
  peer: Peer | undefined;
  ended: boolean;
}

/** Keeps sessions open, sends heartbeats and reports received messages. */
export function createSessions(options: SessionsOptions): Sessions {
  const sessions = new Set<Session>();
  let wanted: ReadonlySet<string> = new Set();
  let closing = false;

  const write = (session: Session, message: SessionMessage): void => {
    if (session.ended) return;
    // A peer that does not read would make messages pile up here without bound.
    // Its session is closed and, if the peer is alive, opened again.
    if (session.stream.writableLength > MAX_QUEUED_MESSAGES) {
      end(session);
      return;
    }
    session.stream.write(message);
  };

  const end = (session: Session): void => {
    if (session.ended) return;
    session.ended = true;
    sessions.delete(session);
    if ('cancel' in session.stream) session.stream.cancel();
    else session.stream.end();
    if (session.peer !== undefined) reportClosed(session.peer);
    if (session.address !== undefined) reopenLater(session.address);
  };

  const reportClosed = (peer: Peer): void => {
    const remaining = sessionWith(peer.instance);
    if (remaining === undefined) options.events.closed(peer);
  };

  const reopenLater = (address: string): void => {
    setTimeout(() => {
      if (!closing && wanted.has(address)) open(address);
    }, REOPEN_PAUSE);
  };

  const sessionWith = (instance: InstanceName): Session | undefined => {
    for (const session of sessions) {
      if (session.peer?.instance === instance) return session;
    }
    return undefined;
  };

  const receive = (session: Session, message: SessionMessage): void => {
    if (session.ended) return;
    if (message.message?.$case === 'hello') {
      const {hello} = message.message;
      if (!isUsableHello(hello)) return end(session);
      const known = session.peer !== undefined;
      session.peer = hello;
      if (!known) options.events.opened(session.peer);
      return;
    }
    if (session.peer === undefined) return end(session);
    options.events.received(session.peer, message);
  };

  const attach = (stream: SessionStream, address: string | undefined): void => {
    const session: Session = {stream, address, peer: undefined, ended: false};
    sessions.add(session);
    handlePeerMessages(stream, options.log, (message: SessionMessage) =>
      receive(session, message),
    );
    stream.on('error', () => end(session));
    stream.on('end', () => end(session));
    stream.on('cancelled', () => end(session));
    write(session, {message: {$case: 'hello', hello: options.hello()}});
  };

  const open = (address: string): void => {
    for (const session of sessions) {
      if (session.address === address) return;
    }
    const {peer} = options.clients.at(address);
    attach(peer.session(options.clients.metadata), address);
  };

  const sendHeartbeats = (): void => {
    for (const session of [...sessions]) {
      if (session.peer !== undefined) {
        write(session, options.heartbeat(session.peer));
      }
    }
  };

  const stopHeartbeats = every(HEARTBEAT_PERIOD, sendHeartbeats);

  return {
    setAddresses: addresses => {
      wanted = addresses;
      for (const session of [...sessions]) {
        const {address} = session;
        if (address !== undefined && !addresses.has(address)) end(session);
      }
      for (const address of addresses) open(address);
    },
    accept: stream => attach(stream, undefined),
    send: (instance, message) => {
      const session = sessionWith(instance);
      if (session === undefined) return false;
      write(session, message);
      return true;
    },
    broadcast: message => {
      for (const session of [...sessions]) write(session, message);
    },
    sendHeartbeats,
    peers: () =>
      [...sessions].flatMap(session =>
        session.peer === undefined ? [] : [session.peer],
      ),
    close: reason => {
      closing = true;
      stopHeartbeats();
      const goodbye: SessionMessage = {
        message: {$case: 'goodbye', goodbye: {reason}},
      };
      for (const session of [...sessions]) {
        write(session, goodbye);
        session.stream.end();
      }
    },
  };
}
