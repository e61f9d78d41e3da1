import type {ServerResponse} from 'node:http';

/**
 * Closes the connection before the end of the framing, so that the caller sees
 * that its answer is incomplete.
 *
 * Callers of HTTP/1.0 get streams without a framing. A reset is all that shows
 * them the cut, and some of them may still take it for the end.
 */
export function cutAnswer(response: ServerResponse): void {
  const {socket} = response;
  const isFramed = response.chunkedEncoding || !response.headersSent;
  if (isFramed || socket === null) response.destroy();
  else socket.resetAndDestroy();
}
