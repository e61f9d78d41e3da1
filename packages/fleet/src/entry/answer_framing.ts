import type {ServerResponse} from 'node:http';

/**
 * Marks the end of an answer by closing the connection, as the target's own
 * answer does.
 *
 * A target that crashes may close its connection cleanly. An answer without a
 * length then looks complete, and adding a Content-Length would confirm to the
 * caller that it is.
 */
export function endWithConnection(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
}
