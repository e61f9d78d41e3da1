import {unreachable, type PlanCommitFault} from '@hibiscusbeam/core';
import type {PlanRefusal} from './plan_service_types';

/** The HTTP response with which an operator's request is refused. */
export interface RefusalResponse {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Retry delay for an entry that is starting or a platform that is down. */
const STARTING_RETRY_AFTER_SECONDS = '1';

/** Returns the response to an operator's request that was refused. */
export function planRefusalResponse(refusal: PlanRefusal): RefusalResponse {
  switch (refusal.kind) {
    case 'notYaml':
      return {status: 400, body: {error: 'notYaml', detail: refusal.detail}};
    case 'badIntent':
      return {
        status: 422,
        body: {
          error: 'badIntent',
          detail: 'the intent has faults; mend them and plan again',
          faults: refusal.faults,
        },
      };
    case 'planRefused':
      return {
        status: 422,
        body: {
          error: 'planRefused',
          detail: 'the intent cannot be planned; nothing has changed',
          faults: refusal.faults,
        },
      };
    case 'starting':
      return {
        status: 503,
        headers: {'retry-after': STARTING_RETRY_AFTER_SECONDS},
        body: {error: 'starting', detail: 'this entry is starting; ask again'},
      };
    case 'notCommitted':
      return commitFaultResponse(refusal.fault);
    case 'platform':
      return {
        status: 503,
        headers: {'retry-after': STARTING_RETRY_AFTER_SECONDS},
        body: {
          error: 'platformUnavailable',
          detail: 'the platform does not answer; nothing has changed',
        },
      };
    default:
      return unreachable(refusal);
  }
}

function commitFaultResponse(fault: PlanCommitFault): RefusalResponse {
  const {kind: error, ...fields} = fault;
  switch (fault.kind) {
    case 'unknownPlan':
      return {
        status: 404,
        body: {error, ...fields, detail: `no plan ${fault.planId} is known`},
      };
    case 'planIdTaken':
    case 'planAbandoned':
    case 'planAlreadyConfirmed':
      return {status: 409, body: {error, ...fields}};
    case 'moving':
      return {
        status: 409,
        body: {
          error,
          ...fields,
          detail: `the move of ${fault.moveId} touches the same things`,
        },
      };
    case 'overtaken':
      return {
        status: 409,
        body: {
          error,
          ...fields,
          detail: `generation ${fault.head} came first; this plan changed nothing`,
        },
      };
    case 'platformUnavailable':
      return {
        status: 503,
        headers: {'retry-after': String(Math.ceil(fault.retryAfter / 1_000))},
        body: {error, ...fields},
      };
    case 'outcomeUnknown':
      return {status: 502, body: {error, ...fields}};
    case 'malformedRow':
      return {
        status: 500,
        body: {error, ...fields, detail: `cannot read the row ${fault.key}`},
      };
    default:
      return unreachable(fault);
  }
}
