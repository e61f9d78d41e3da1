import type {ServerResponse} from 'node:http';
import {bodyOf, responseOf, type UnansweredOutcome} from './outcome_mapping';

/** One line of the answer to a caller; the stream's form is NDJSON. */
export type AnswerLine =
  | {readonly kind: 'started'; readonly versionDigest: string}
  | {readonly kind: 'token'; readonly sequence: number; readonly text: string}
  | {readonly kind: 'end'; readonly count: number; readonly digest: string};

/** Writes one answer to one caller. */
export interface AnswerWriter {
  /** Undefined at once, or a promise until the connection takes more. */
  readonly write: (line: AnswerLine) => Promise<void> | undefined;
  /** Ends with an outcome instead of an answer. */
  readonly endWithOutcome: (outcome: UnansweredOutcome) => void;
  readonly end: () => void;
}

const STREAM_HEADERS = {
  'content-type': 'application/x-ndjson',
  'cache-control': 'no-store',
};

/** Streams an answer as NDJSON; the status is sent with the first line. */
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
