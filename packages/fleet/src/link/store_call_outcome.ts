import {unreachable, type StoreCallOutcome} from '@hibiscusbeam/core';
import type {Result} from 'ts-results';
import type {HostError} from '../ports';
import type {CallProgress} from './http_calls';

/** Maps the result of a request to an outcome for the store. */
export function storeCallOutcome(
  reply: Result<unknown, HostError>,
): StoreCallOutcome {
  if (reply.ok) return 'answered';
  const error = reply.val;
  switch (error.kind) {
    case 'unavailable':
    case 'rateLimited':
      return 'turnedAway';
    case 'historyLost':
    case 'refused':
    case 'malformed':
      return 'answered';
    case 'noAnswer':
      return outcomeOfProgress(error.progress);
    default:
      return unreachable(error);
  }
}

function outcomeOfProgress(progress: CallProgress): StoreCallOutcome {
  switch (progress) {
    case 'notConnected':
      return 'notReached';
    case 'broken':
      return 'turnedAway';
    case 'silent':
    case 'underWay':
      return progress;
    default:
      return unreachable(progress);
  }
}

/**
 * Whether an outcome shows that the store is unavailable, so that nothing was
 * written until then; false if only its answer or the path to it is slow.
 */
export function showsStoreUnavailable(outcome: StoreCallOutcome): boolean {
  switch (outcome) {
    case 'turnedAway':
    case 'silent':
      return true;
    case 'notReached':
    case 'answered':
    case 'underWay':
      return false;
    default:
      return unreachable(outcome);
  }
}
