import {
  createEventSplitter,
  type ForwardAttemptOutcome,
  type Milliseconds,
  type MonotonicInstant,
} from '@hibiscusbeam/core';
import type {ServerResponse} from 'node:http';
import type {RequestProtocol} from '../ports';
import {endWithConnection} from './answer_framing';
import type {IncomingAnswer} from './exchange';

/** What reached the caller of one stream, over all of its attempts. */
export interface StreamProgress {
  begun: boolean;
  lastEventId: string | undefined;
  /** When the first event was passed on. */
  begunAt: MonotonicInstant | undefined;
}

/** What a relay needs. */
export interface StreamRelayOptions {
  readonly answer: IncomingAnswer;
  readonly response: ServerResponse;
  readonly protocol: RequestProtocol;
  readonly progress: StreamProgress;
  /** Aborts when the stream is to go on at another target. */
  readonly handOn: AbortSignal;
  /** Longest silence of the target before it counts as lost. */
  readonly longestSilence: Milliseconds;
  /** Is told of a silence, and how late the loop of this process noticed it. */
  readonly onSilence: (noticedLateBy: Milliseconds) => void;
  readonly now: () => MonotonicInstant;
  /** Header lines of our own for the caller. */
  readonly ownLines: () => readonly string[];
  /** Is told of each event that this target has sent. */
  readonly onEvent: () => void;
  /** Is told when the first event of all attempts has come. */
  readonly onFirstEvent: () => void;
}

/**
 * Passes a target's events on as they come, whole ones only.
 *
 * Failure: a target stops in the middle of an event, and another one goes on
 * after it: the caller would see half an event run into the next. So bytes wait
 * until their event is whole.
 */
export function relayStream(
  options: StreamRelayOptions,
): Promise<ForwardAttemptOutcome> {
  const {answer, response, progress} = options;
  const {body} = answer;
  const splitter = createEventSplitter();

  function begin(): void {
    if (progress.begun) return;
    progress.begun = true;
    progress.begunAt = options.now();
    options.onFirstEvent();
    const lines = [
      ...options.protocol.writeAnswer(answer.lines),
      ...options.ownLines(),
    ];
    if (!answer.isFramed) endWithConnection(response);
    response.writeHead(answer.status, lines);
  }

  return new Promise(resolve => {
    const broken = (cause: 'connectionLost' | 'silence' | 'foreignAnswer') => {
      clearTimeout(silence);
      body.destroy();
      const {lastEventId} = progress;
      resolve(
        progress.begun
          ? {kind: 'broken', cause, lastEventId}
          : {kind: 'unknown', cause},
      );
    };
    const handOn = (): void => {
      const {lastEventId} = progress;
      if (lastEventId === undefined) return;
      clearTimeout(silence);
      resolve({kind: 'handedOn', lastEventId});
      body.destroy();
    };
    options.handOn.addEventListener('abort', handOn, {once: true});
    let silentAt = options.now() + options.longestSilence;
    const silence = setTimeout(() => {
      options.onSilence(options.now() - silentAt);
      broken('silence');
    }, options.longestSilence);
    const refreshSilence = (): void => {
      silentAt = options.now() + options.longestSilence;
      silence.refresh();
    };
    body.on('data', (bytes: Buffer) => {
      refreshSilence();
      for (const event of splitter.push(bytes)) {
        if (!follows(progress.lastEventId, event.id)) {
          broken('foreignAnswer');
          return;
        }
        begin();
        options.onEvent();
        progress.lastEventId = event.id ?? progress.lastEventId;
        const roomLeft = response.write(event.bytes);
        if (!roomLeft && !response.destroyed) holdBack();
      }
    });
    const holdBack = (): void => {
      body.pause();
      clearTimeout(silence);
      response.once('drain', () => {
        refreshSilence();
        body.resume();
      });
    };
    body.on('end', () => {
      clearTimeout(silence);
      if (!answer.isWhole()) return broken('connectionLost');
      begin();
      // Whether events passed on by length may end here is not for a body to
      // say that has none.
      if (!answer.isFramed && progress.begun && response.chunkedEncoding) {
        return broken('connectionLost');
      }
      if (splitter.rest().length > 0) response.write(splitter.rest());
      resolve({kind: 'streamed'});
    });
    body.on('error', () => broken('connectionLost'));
    body.on('close', () => broken('connectionLost'));
  });
}

/** Whether an event may follow: ids only grow, one by one where they count. */
function follows(last: string | undefined, next: string | undefined): boolean {
  if (last === undefined || next === undefined) return true;
  const before = Number(last);
  const after = Number(next);
  if (!Number.isInteger(before) || !Number.isInteger(after)) return true;
  return after === before + 1;
}
