import type {Socket} from 'node:net';

/** What the parser takes for an error when a header is complete. */
const PARSER_ERROR = -1;

/**
 * Destroys a connection and makes its HTTP parser fail at the next request.
 * Node.js parses what it has read to the end, even hundreds of requests.
 */
export function destroyWithParser(socket: Socket): void {
  const {parser} = socket as Socket & {
    readonly parser?: {onIncoming?: () => number} | null;
  };
  if (parser) parser.onIncoming = () => PARSER_ERROR;
  socket.destroy();
}
