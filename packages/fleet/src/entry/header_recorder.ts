import type {
  ListedTarget,
  MonotonicInstant,
  TargetRegistry,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import type {AnswerHeader} from '../ports';
import type {FleetMetrics} from './fleet_metrics';
import type {RateLimitMonitor} from './rate_limit_monitor';

/** The header of an answer, with the attempt that it belongs to. */
export interface ReceivedHeader {
  readonly target: ListedTarget;
  readonly header: AnswerHeader;
  /** When the attempt was sent. */
  readonly sentAt: MonotonicInstant;
}

/** Dependencies of the header recorder. */
export interface HeaderRecorderOptions {
  readonly registry: Pick<TargetRegistry, 'recordLeaving' | 'recordBackoff'>;
  readonly clock: Clock;
  readonly limitMonitor: RateLimitMonitor;
  readonly log: Log;
  readonly metrics: FleetMetrics;
}

/**
 * Records what targets report about themselves in the headers of their answers:
 * rate limits, leaving and backoff.
 */
export interface HeaderRecorder {
  /** Returns the recorded facts, for the trace of the request. */
  readonly record: (answer: ReceivedHeader) => readonly string[];
}

/** Creates the recorder. */
export function createHeaderRecorder(
  options: HeaderRecorderOptions,
): HeaderRecorder {
  const {registry, clock, limitMonitor, log, metrics} = options;

  function recordLimit({target, header, sentAt}: ReceivedHeader): string[] {
    const {rateLimit, sealed} = header;
    // A refusal need not repeat the limit that is still in force.
    if (rateLimit === undefined && !sealed) return [];
    limitMonitor.recordAnswer(target, rateLimit, sentAt);
    if (rateLimit === undefined) return [];
    metrics.countLimitedAnswer(target.service);
    return [`sets a limit of ${rateLimit} a second`];
  }

  function recordLeaving({target, header}: ReceivedHeader): string[] {
    if (!header.leaving) return [];
    metrics.countLeavingAnswer(target.service);
    if (registry.recordLeaving(target)) {
      const {instance, service} = target;
      log.info('target reports that it is leaving', {instance, service});
    }
    return ['reports that it is leaving'];
  }

  function recordBackoff({target, header}: ReceivedHeader): string[] {
    const {backoff} = header;
    if (backoff === undefined) return [];
    metrics.countBackoffAnswer(target.service);
    registry.recordBackoff(target, clock() + backoff);
    const {instance, service} = target;
    log.info('target requests a backoff', {instance, service, backoff});
    return [`requests a backoff of ${Math.round(backoff)} ms`];
  }

  return {
    record: answer => {
      // Another target, or another incarnation of this one, has answered.
      if (answer.header.misdirected) return [];
      return [
        ...recordLimit(answer),
        ...recordLeaving(answer),
        ...recordBackoff(answer),
      ];
    },
  };
}
