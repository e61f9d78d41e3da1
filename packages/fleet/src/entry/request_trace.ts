import type {ListedTarget} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';

/** What happened to one request, for its line in the log. */
export interface RequestTrace {
  readonly send: (target: ListedTarget) => AttemptTrace;
  readonly repeat: (allowed: boolean) => void;
  /** Notes that no target takes the request now. */
  readonly noPlace: (reason: string) => void;
  readonly lines: () => readonly string[];
}

/** The line of one send; it is written when the send ends. */
export interface AttemptTrace {
  readonly explain: (detail: string) => void;
  readonly end: (outcome: string, cause: string | undefined) => void;
}

/** Begins the story of a request. */
export function createRequestTrace(clock: Clock): RequestTrace {
  const lines: string[] = [];
  const startedAt = clock();
  const since = (): number => Math.round(clock() - startedAt);
  return {
    send: target => {
      let line = `${since()} ms ${target.instance} ${target.address}`;
      return {
        explain: detail => (line += ` (${detail})`),
        end: (outcome, cause) => {
          lines.push(`${line}: ${outcome} ${cause ?? ''} ${since()} ms`);
        },
      };
    },
    repeat: allowed => {
      if (!allowed) lines.push('no repeat left in the budget');
    },
    noPlace: reason => lines.push(`${since()} ms no place: ${reason}`),
    lines: () => lines,
  };
}
