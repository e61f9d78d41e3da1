import type {Milliseconds} from '@hibiscusbeam/core';
import type {Result} from 'ts-results';
import {startAnswerTimer} from './answer_timer';

/** A question and the one that is asked beside it if its answer is late. */
export interface BackedUpQuestion<Answer, Failure> {
  readonly first: () => Promise<Result<Answer, Failure>>;
  readonly backup: () => Promise<Result<Answer, Failure>>;
  /** Time after which the first one's answer is late. */
  readonly lateAfter: Milliseconds;
  /** Whether the backup is worth its call, asked when the answer is late. */
  readonly isBackupWanted: () => boolean;
}

/**
 * Asks a question, and the backup once its answer is late. The first answer
 * counts; it fails when all that was asked has failed.
 */
export function askWithBackup<Answer, Failure>(
  question: BackedUpQuestion<Answer, Failure>,
): Promise<Result<Answer, Failure>> {
  return new Promise((resolve, reject) => {
    let underWay = 0;
    const ask = (put: () => Promise<Result<Answer, Failure>>): void => {
      underWay += 1;
      put().then(settle, reject);
    };
    const settle = (reply: Result<Answer, Failure>): void => {
      underWay -= 1;
      if (reply.err && underWay > 0) return;
      timer.stop();
      resolve(reply);
    };
    const timer = startAnswerTimer(question.lateAfter, () => {
      if (question.isBackupWanted()) ask(question.backup);
    });
    ask(question.first);
  });
}
