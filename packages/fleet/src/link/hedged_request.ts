import type {Milliseconds} from '@hibiscusbeam/core';
import type {Result} from 'ts-results';
import {startAnswerTimer} from './answer_timer';

/** A request, and the hedge that is sent in addition if its answer is late. */
export interface HedgedRequest<Answer, Failure> {
  readonly first: () => Promise<Result<Answer, Failure>>;
  readonly hedge: () => Promise<Result<Answer, Failure>>;
  /** Time after which the answer of the first request is late. */
  readonly hedgeDelay: Milliseconds;
  /** Whether the hedge is worth its call; evaluated when the answer is late. */
  readonly isHedgeWanted: () => boolean;
}

/**
 * Sends a request, and the hedge once its answer is late. The first successful
 * answer wins; fails when all requests sent so far have failed.
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
