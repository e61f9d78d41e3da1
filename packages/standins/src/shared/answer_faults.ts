import type {Milliseconds} from '@hibiscusbeam/core';
import * as z from 'zod';
import type {Clock} from './clock';

/** Time that an answer waits for another one to be swapped with. */
const CROSSING_TIMEOUT_MS: Milliseconds = 1_000;

const count = z.int().nonnegative();

/**
 * Faults of answers: how many of the next ones each affects; `lateBy` in ms.
 */
export const answerFaultsShape = {
  /** Pairs of answers that are sent on each other's connection. */
  crossNext: count,
  lateNext: count,
  lateBy: z.number().nonnegative(),
  /** Connections cut after the work took effect, before the answer's end. */
  dropNext: count,
};

type AnswerFaultSettings = {
  readonly [Name in keyof typeof answerFaultsShape]?: number | undefined;
};

/** Injects faults into answers. */
export interface AnswerFaults {
  readonly set: (settings: AnswerFaultSettings) => void;
  /** Delays or swaps the answer as set; returns the answer to send. */
  readonly applyFaults: <Answer>(answer: Answer) => Promise<Answer>;
  /** Whether to cut this answer's connection; uses up one of `dropNext`. */
  readonly consumeDrop: () => boolean;
}

/** Creates the faults of answers, all of them off. */
export function createAnswerFaults(clock: Clock): AnswerFaults {
  let crossNext = 0;
  let lateNext = 0;
  let lateBy: Milliseconds = 0;
  let dropNext = 0;
  let pendingSwap: ((other: unknown) => unknown) | undefined;

  /**
   * The first answer of a pair waits for the second; the two are then swapped.
   */
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
