import type {Milliseconds} from '@hibiscusbeam/core';
import type {Result} from 'ts-results';
import {startAnswerTimer} from './answer_timer';

/** A question and the one that is asked beside it if its answer is late. */
export interface HedgedRequest<Answer, Failure> {
  readonly first: () => Promise<Result<Answer, Failure>>;
  readonly hedge: () => Promise<Result<Answer, Failure>>;
  /** Time after which the first one's answer is late. */
  readonly hedgeDelay: Milliseconds;
  /** Whether the backup is worth its call, asked when the answer is late. */
  readonly isHedgeWanted: () => boolean;
}

/**
 * Asks a question, and the backup once its answer is late. The first answer
 * counts; it fails when all that was asked has failed.
 */
export function requestWithHedge<Answer, Failure>(
  request: HedgedRequest<Answer, Failure>,
): Promise<Result<Answer, Failure>> {
  return new Promise((resolve, reject) => {
    let inFlight = 0;
    const start = (attempt: () => Promise<Result<Answer, Failure>>): void => {
      inFlight += 1;
      attempt().then(settle, reject);
    };
    const settle = (reply: Result<Answer, Failure>): void => {
      inFlight -= 1;
      if (reply.err && inFlight > 0) return;
      timer.stop();
      resolve(reply);
    };
    const timer = startAnswerTimer(request.hedgeDelay, () => {
      if (request.isHedgeWanted()) start(request.hedge);
    });
    start(request.first);
  });
}
