import type {Milliseconds} from '@hibiscusbeam/core';
import * as z from 'zod';
import type {Clock} from './clock';

/** How long an answer waits for another one to be crossed with. */
const CROSSING_TIMEOUT_MS: Milliseconds = 1_000;

const count = z.int().nonnegative();

/** Faults of answers: how many of the next ones, and by how many ms. */
export const answerFaultsShape = {
  /** Pairs of answers that go out on each other's connection. */
  crossNext: count,
  lateNext: count,
  lateBy: z.number().nonnegative(),
  /** Connections cut after the work took effect, before the answer's end. */
  dropNext: count,
};

type AnswerFaultSettings = {
  readonly [Name in keyof typeof answerFaultsShape]?: number | undefined;
};

/** Applies the faults of answers. */
export interface AnswerFaults {
  readonly set: (settings: AnswerFaultSettings) => void;
  /** Waits if the answer is to be late; gives the answer to send. */
  readonly applyFaults: <Answer>(answer: Answer) => Promise<Answer>;
  /** Whether this answer's connection is to be cut. */
  readonly consumeDrop: () => boolean;
}

/** No fault until set. */
export function createAnswerFaults(clock: Clock): AnswerFaults {
  let crossNext = 0;
  let lateNext = 0;
  let lateBy: Milliseconds = 0;
  let dropNext = 0;
  let pendingSwap: ((other: unknown) => unknown) | undefined;

  /** The first of a pair waits for the second; both then swap. */
  async function swapWithNext<Answer>(answer: Answer): Promise<Answer> {
    if (pendingSwap !== undefined) {
      const swap = pendingSwap;
      pendingSwap = undefined;
      crossNext -= 1;
      return swap(answer) as Answer;
    }
    return new Promise<Answer>(resolve => {
      const offer = (other: unknown) => {
        resolve(other as Answer);
        return answer;
      };
      pendingSwap = offer;
      void clock.wait(CROSSING_TIMEOUT_MS).then(() => {
        if (pendingSwap === offer) pendingSwap = undefined;
        resolve(answer);
      });
    });
  }

  return {
    set: settings => {
      crossNext = settings.crossNext ?? crossNext;
      lateNext = settings.lateNext ?? lateNext;
      lateBy = settings.lateBy ?? lateBy;
      dropNext = settings.dropNext ?? dropNext;
    },
    applyFaults: async answer => {
      if (lateNext > 0) {
        lateNext -= 1;
        await clock.wait(lateBy);
      }
      return crossNext > 0 ? swapWithNext(answer) : answer;
    },
    consumeDrop: () => {
      if (dropNext === 0) return false;
      dropNext -= 1;
      return true;
    },
  };
}
