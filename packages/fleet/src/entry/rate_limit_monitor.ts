import {
  targetIncarnationKey,
  type ListedTarget,
  type MonotonicInstant,
  type RateLimits,
} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';

/** What the watch needs. */
export interface RateLimitMonitorOptions {
  readonly limits: RateLimits;
  readonly log: Log;
  /** Told when an answer seen here has changed a limit. */
  readonly onChange: () => void;
}

/** Takes the limits that targets name in their answers. */
export interface RateLimitMonitor {
  readonly recordAnswer: (
    target: ListedTarget,
    /** Undefined if the answer names no limit. */
    rate: number | undefined,
    sentAt: MonotonicInstant,
  ) => void;
}

/** Creates the watch. */
export function createRateLimitMonitor(
  options: RateLimitMonitorOptions,
): RateLimitMonitor {
  const {limits, log} = options;
  return {
    recordAnswer: (target, rate, sentAt) => {
      const life = targetIncarnationKey(target);
      if (!limits.recordAnswer({life, rate, sentAt})) return;
      const {instance, service} = target;
      if (rate === undefined) {
        log.info('limit of a target is over', {instance, service});
      } else log.info('target names a limit', {instance, service, rate});
      options.onChange();
    },
  };
}
