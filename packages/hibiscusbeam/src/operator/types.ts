import type {Result} from 'ts-results';
import type {Refusal} from './replies';

/** Why a request to an entry failed. */
export type OperatorError =
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  | {readonly kind: 'unreachable'; readonly detail: string}
  | {readonly kind: 'outcomeUnknown'; readonly detail: string};

/** A validated reply, with the JSON as received for `--json`. */
export interface OperatorReply<Value> {
  readonly value: Value;
  readonly json: unknown;
}

/** Reply to a call, or its error. */
export type OperatorResult<Value> = Promise<
  Result<OperatorReply<Value>, OperatorError>
>;
