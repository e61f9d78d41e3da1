import type {Milliseconds} from '@hibiscusbeam/core';
import {sleep} from '@hibiscusbeam/daemon';
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

/**
 * Time for the caller to read what was sent to it. A reset that overtakes unread
 * bytes may look like the regular end of the connection.
 */
const READ_BEFORE_RESET: Milliseconds = 100;

/**
 * Closes the connection so that the caller sees that its answer is incomplete.
 * Without a length or chunks, only a reset shows that.
 */
export async function cutAnswer(response: ServerResponse): Promise<void> {
  if (!endsWithConnection(response)) return void response.destroy();
  await sleep(READ_BEFORE_RESET);
  resetAnswer(response);
}

/** The same at once, for a caller that does not read. */
export function resetAnswer(response: ServerResponse): void {
  if (endsWithConnection(response)) response.socket?.resetAndDestroy();
  response.destroy();
}

function endsWithConnection(response: ServerResponse): boolean {
  const isFramed = response.chunkedEncoding || response.shouldKeepAlive;
  return response.headersSent && !isFramed;
}
