import type {ServerResponse} from 'node:http';
import {bodyOf, responseOf, type UnansweredOutcome} from './outcome_mapping';

/** One line of the NDJSON stream with which a caller is answered. */
export type AnswerLine =
  | {readonly kind: 'started'; readonly versionDigest: string}
  | {readonly kind: 'token'; readonly sequence: number; readonly text: string}
  | {readonly kind: 'end'; readonly count: number; readonly digest: string};

/** Writes one answer to one caller. */
export interface AnswerWriter {
  /** Returns a promise if the connection is full; it resolves once drained. */
  readonly write: (line: AnswerLine) => Promise<void> | undefined;
  /** Ends the response with an outcome instead of an answer. */
  readonly endWithOutcome: (outcome: UnansweredOutcome) => void;
  readonly end: () => void;
}

const STREAM_HEADERS = {
  'content-type': 'application/x-ndjson',
  'cache-control': 'no-store',
};

/** Creates a writer that streams NDJSON; the first line sends the status. */
export function createAnswerWriter(response: ServerResponse): AnswerWriter {
  const untilDrained = (): Promise<void> =>
    new Promise(resolve => {
      response.once('drain', resolve);
      response.once('close', resolve);
    });
  return {
    write: line => {
      if (!response.headersSent) response.writeHead(200, STREAM_HEADERS);
      if (response.destroyed) return undefined;
      const hasRoom = response.write(`${JSON.stringify(line)}\n`);
      return hasRoom ? undefined : untilDrained();
    },
    endWithOutcome: outcome => {
      if (response.headersSent) {
        const line = {kind: 'outcome', ...bodyOf(outcome)};
        response.end(`${JSON.stringify(line)}\n`);
        return;
      }
      const {status, headers, body} = responseOf(outcome);
      response.writeHead(status, {
        'content-type': 'application/json',
        ...headers,
      });
      response.end(JSON.stringify(body));
    },
    end: () => void response.end(),
  };
}
