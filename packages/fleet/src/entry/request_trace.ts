import type {ListedTarget} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';

/** Records what happened to one request, for its log line. */
export interface RequestTrace {
  readonly send: (target: ListedTarget) => AttemptTrace;
  readonly repeat: (allowed: boolean) => void;
  /** Records that no target has a free slot, and why. */
  readonly noPlace: (reason: string) => void;
  readonly lines: () => readonly string[];
}

/** Trace of one attempt; its line is added when the attempt ends. */
export interface AttemptTrace {
  readonly explain: (detail: string) => void;
  readonly end: (outcome: string, cause: string | undefined) => void;
}

/** Starts the trace of a request; its times count from now. */
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
      if (!allowed) lines.push('no retry left in the budget');
    },
    noPlace: reason => lines.push(`${since()} ms no slot: ${reason}`),
    lines: () => lines,
  };
}
