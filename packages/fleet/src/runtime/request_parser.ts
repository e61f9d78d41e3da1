import type {Socket} from 'node:net';

/** What the parser takes for an error when a header is complete. */
const PARSER_ERROR = -1;

/**
 * Destroys a connection and stops its HTTP parser at the next request.
 *
 * A destroyed connection is still parsed to the end of the bytes that were just
 * read, and keeps their requests until it has closed. They may be hundreds.
 * Node.js has no public interface to prevent this.
 */
export function destroyWithParser(socket: Socket): void {
  const {parser} = socket as Socket & {
    readonly parser?: {onIncoming?: () => number} | null;
  };
  if (parser) parser.onIncoming = () => PARSER_ERROR;
  socket.destroy();
}
