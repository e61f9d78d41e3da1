import type {IncomingMessage, ServerResponse} from 'node:http';
import {PassThrough} from 'node:stream';
import {expect, test} from 'vitest';
import {
  relayStream,
  type StreamProgress,
} from '../../packages/fleet/src/entry/stream_relay';
import {requestProtocol} from '../../platform/request_protocol';

const nothing = (): void => undefined;

/** Relays one event to a caller whose response refuses its head. */
async function relayUnwritable(isFramed: boolean) {
  const body = new PassThrough();
  const errors: unknown[] = [];
  let hasWon = false;
  const progress: StreamProgress = {
    begun: false,
    lastEventId: undefined,
    begunAt: undefined,
  };
  const refuse = (): never => {
    throw new Error('not writable');
  };
  const end = relayStream({
    answer: {
      status: 200,
      lines: [],
      header: {} as never,
      body: body as unknown as IncomingMessage,
      isWhole: () => true,
      isFramed,
    },
    response: {writeHead: refuse, socket: null} as unknown as ServerResponse,
    protocol: requestProtocol,
    progress,
    silence: {
      recordBytes: nothing,
      pause: nothing,
      resume: nothing,
      stop: nothing,
    },
    signal: new AbortController().signal,
    buffers: {scheduleCheck: nothing, hold: nothing},
    onStream: nothing,
    onForward: () => (hasWon = true),
    now: () => 0,
    ownLines: () => [],
    onEvent: nothing,
    confirmEnd: () => Promise.resolve(true),
    onFirstEvent: nothing,
    onError: error => errors.push(error),
  });
  body.end('id: 1\ndata: one\n\n');
  return {end: await end, errors, progress, hasWon};
}

// Guards against an error in a socket's callback, which ends the process.
test.each([true, false])(
  'a head that can not be written costs its attempt only (framed: %s)',
  async isFramed => {
    const {end, errors, progress, hasWon} = await relayUnwritable(isFramed);
    expect(end).toEqual({kind: 'unknown', cause: 'malformedAnswer'});
    expect(errors).toHaveLength(1);
    // Another attempt may still forward its answer.
    expect([progress.begun, hasWon]).toEqual([false, false]);
  },
);
