import {unreachable, type RequestOutcome} from '@hibiscusbeam/core';
import type {Metrics} from '../metrics';
import type {Clock} from '../runtime/clock';
import type {CallerService} from './caller_service';

/** Wraps a caller service to count and time each request. */
export function measureCallers(
  callers: CallerService,
  metrics: Metrics,
  clock: Clock,
): CallerService {
  const count = (
    workspace: string,
    outcome: RequestOutcome,
    startedAt: number,
  ): void => {
    metrics.time(
      'requests.duration',
      {outcome: outcome.kind},
      clock() - startedAt,
    );
    switch (outcome.kind) {
      case 'answered':
        return metrics.count('requests.answered', {workspace});
      case 'notRun': {
        const {reason} = outcome;
        return metrics.count('requests.not_run', {workspace, reason});
      }
      case 'outcomeUnknown':
        return metrics.count('requests.outcome_unknown', {workspace});
      default:
        return unreachable(outcome);
    }
  };
  return {
    generate: async (workspace, ...rest) => {
      const startedAt = clock();
      metrics.count('requests.received', {workspace});
      const outcome = await callers.generate(workspace, ...rest);
      count(workspace, outcome, startedAt);
      return outcome;
    },
    call: async (workspace, serviceCall) => {
      const startedAt = clock();
      metrics.count('requests.received', {workspace});
      const result = await callers.call(workspace, serviceCall);
      count(workspace, result.outcome, startedAt);
      return result;
    },
    needsKey: callers.needsKey,
  };
}
