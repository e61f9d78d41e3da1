import type {
  ListedTarget,
  MonotonicInstant,
  TargetRegistry,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import type {AnswerHeader} from '../ports';
import type {FleetMetrics} from './fleet_metrics';
import type {RateLimitMonitor} from './rate_limit_monitor';

/** The header of an answer, and the request that it answers. */
export interface ReceivedHeader {
  readonly target: ListedTarget;
  readonly header: AnswerHeader;
  /** When the request was sent. */
  readonly sentAt: MonotonicInstant;
}

/** What taking targets' statements needs. */
export interface HeaderRecorderOptions {
  readonly registry: Pick<TargetRegistry, 'recordLeaving' | 'recordBackoff'>;
  readonly clock: Clock;
  readonly limitMonitor: RateLimitMonitor;
  readonly log: Log;
  readonly metrics: FleetMetrics;
}

/** Takes what targets say of themselves in the headers of their answers. */
export interface HeaderRecorder {
  /** Returns what the header says, for the story of its request. */
  readonly record: (answer: ReceivedHeader) => readonly string[];
}

/** Creates the taker of statements. */
export function createHeaderRecorder(
  options: HeaderRecorderOptions,
): HeaderRecorder {
  const {registry, clock, limitMonitor, log, metrics} = options;

  function recordLimit({target, header, sentAt}: ReceivedHeader): string[] {
    const {rateLimit, sealed} = header;
    // A refusal need not name the limit that is still in force.
    if (rateLimit === undefined && !sealed) return [];
    limitMonitor.recordAnswer(target, rateLimit, sentAt);
    if (rateLimit === undefined) return [];
    metrics.countLimitedAnswer(target.service);
    return [`names a limit of ${rateLimit} a second`];
  }

  function recordLeaving({target, header}: ReceivedHeader): string[] {
    if (!header.leaving) return [];
    metrics.countLeavingAnswer(target.service);
    if (registry.recordLeaving(target)) {
      const {instance, service} = target;
      log.info('target says that it leaves', {instance, service});
    }
    return ['says that it leaves'];
  }

  function recordBackoff({target, header}: ReceivedHeader): string[] {
    const {backoff} = header;
    if (backoff === undefined) return [];
    metrics.countBackoffAnswer(target.service);
    registry.recordBackoff(target, clock() + backoff);
    const {instance, service} = target;
    log.info('target asks to back off', {instance, service, backoff});
    return [`asks to back off for ${Math.round(backoff)} ms`];
  }

  return {
    record: answer => {
      // Another target, or another life of it, has answered.
      if (answer.header.misdirected) return [];
      return [
        ...recordLimit(answer),
        ...recordLeaving(answer),
        ...recordBackoff(answer),
      ];
    },
  };
}
