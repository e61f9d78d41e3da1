import type {
  ListedTarget,
  MonotonicInstant,
  TargetRegistry,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import type {AnswerHeader} from '../ports';
import type {FleetMetrics} from './fleet_metrics';
import type {LimitWatch} from './limit_watch';

/** The header of an answer, and the request that it answers. */
export interface StatedAnswer {
  readonly target: ListedTarget;
  readonly header: AnswerHeader;
  /** When the request was sent. */
  readonly sentAt: MonotonicInstant;
}

/** What taking targets' statements needs. */
export interface TargetStatementsOptions {
  readonly book: Pick<TargetRegistry, 'recordLeaving' | 'recordBackoff'>;
  readonly clock: Clock;
  readonly limitWatch: LimitWatch;
  readonly log: Log;
  readonly metrics: FleetMetrics;
}

/** Takes what targets say of themselves in the headers of their answers. */
export interface TargetStatements {
  /** Returns what the header says, for the story of its request. */
  readonly note: (answer: StatedAnswer) => readonly string[];
}

/** Creates the taker of statements. */
export function createTargetStatements(
  options: TargetStatementsOptions,
): TargetStatements {
  const {book, clock, limitWatch, log, metrics} = options;

  function noteLimit({target, header, sentAt}: StatedAnswer): string[] {
    const {rateLimit, sealed} = header;
    // A refusal need not name the limit that is still in force.
    if (rateLimit === undefined && !sealed) return [];
    limitWatch.noteAnswer(target, rateLimit, sentAt);
    if (rateLimit === undefined) return [];
    metrics.countLimitedAnswer(target.service);
    return [`names a limit of ${rateLimit} a second`];
  }

  function noteLeaving({target, header}: StatedAnswer): string[] {
    if (!header.leaving) return [];
    metrics.countLeavingAnswer(target.service);
    if (book.recordLeaving(target)) {
      const {instance, service} = target;
      log.info('target says that it leaves', {instance, service});
    }
    return ['says that it leaves'];
  }

  function noteBackoff({target, header}: StatedAnswer): string[] {
    const {backoff} = header;
    if (backoff === undefined) return [];
    metrics.countBackoffAnswer(target.service);
    book.recordBackoff(target, clock() + backoff);
    const {instance, service} = target;
    log.info('target asks to back off', {instance, service, backoff});
    return [`asks to back off for ${Math.round(backoff)} ms`];
  }

  return {
    note: answer => {
      // Another target, or another life of it, has answered.
      if (answer.header.misdirected) return [];
      return [
        ...noteLimit(answer),
        ...noteLeaving(answer),
        ...noteBackoff(answer),
      ];
    },
  };
}
