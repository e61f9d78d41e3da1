import {
  targetIncarnationKey,
  type ListedTarget,
  type MonotonicInstant,
  type RateLimits,
} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';

/** Dependencies of the rate limit monitor. */
export interface RateLimitMonitorOptions {
  readonly limits: RateLimits;
  readonly log: Log;
  /** Called when an answer to this entry has changed a limit. */
  readonly onChange: () => void;
}

/** Records the rate limits that targets set in their answers. */
export interface RateLimitMonitor {
  readonly recordAnswer: (
    target: ListedTarget,
    /** Requests a second; undefined if the answer sets no limit. */
    rate: number | undefined,
    sentAt: MonotonicInstant,
  ) => void;
}

/** Creates the monitor; it logs each change of a limit. */
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
        log.info('target no longer sets a rate limit', {instance, service});
      } else log.info('target sets a rate limit', {instance, service, rate});
      options.onChange();
    },
  };
}
