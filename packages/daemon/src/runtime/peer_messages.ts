import {
  status,
  type ClientDuplexStream,
  type ClientReadableStream,
  type ServerDuplexStream,
  type ServiceError,
} from '@grpc/grpc-js';
import type {Log} from '../logs';
import {guardCallback} from './guarded_callback';

/** A stream on which a peer sends messages. */
type PeerStream<Message> =
  | ClientReadableStream<Message>
  | ClientDuplexStream<never, Message>
  | ServerDuplexStream<Message, never>;

/**
 * Calls `handle` for each message of a peer. An error that it throws is logged
 * and breaks the stream, as if the peer were lost.
 */
export function handlePeerMessages<Message>(
  stream: Pick<PeerStream<Message>, 'on' | 'emit'>,
  log: Log,
  handle: (message: Message) => void,
): void {
  const breakStream = (error: unknown): void => {
    log.error('message of a peer not handled', {error});
    const broken: Partial<ServiceError> = {
      code: status.INTERNAL,
      details: 'message not handled',
    };
    stream.emit('error', Object.assign(new Error(broken.details), broken));
  };
  stream.on('data', guardCallback(breakStream, handle));
}
