import type {Milliseconds} from '@hibiscusbeam/core';
import {sleep} from '@hibiscusbeam/daemon';
import type {ServerResponse} from 'node:http';
import {setResetOnClose} from '../runtime/socket_options';

/**
 * Marks the end of an answer by closing the connection, as the target's own
 * answer does.
 *
 * A target that crashes may close its connection cleanly. An answer without a
 * length then looks complete, and adding a Content-Length would confirm to the
 * caller that it is.
 *
 * A regular close before the end would look like the end. So the connection is
 * reset if it closes in the middle of the answer, also if this process is
 * killed.
 */
export function endWithConnection(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  const {socket} = response;
  if (socket === null) return;
  setResetOnClose(socket, true);
  // The operating system has the whole answer now. Runs before the server of
  // Node.js closes the connection.
  response.prependOnceListener('finish', () => setResetOnClose(socket, false));
}

/**
 * Time for the caller to read what was sent to it. A reset that overtakes unread
 * bytes may look like the regular end of the connection.
 */
const READ_BEFORE_RESET: Milliseconds = 100;

/** Closes the connection so that the caller sees that its answer is incomplete. */
export async function cutAnswer(response: ServerResponse): Promise<void> {
  if (endsWithConnection(response)) await sleep(READ_BEFORE_RESET);
  response.destroy();
}

function endsWithConnection(response: ServerResponse): boolean {
  const isFramed = response.chunkedEncoding || response.shouldKeepAlive;
  return response.headersSent && !isFramed;
}
