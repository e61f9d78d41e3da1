import type {Result} from 'ts-results';
import type {Refusal} from './replies';

/** Why an entry gave no usable answer. */
export type OperatorError =
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  | {readonly kind: 'unreachable'; readonly detail: string}
  | {readonly kind: 'outcomeUnknown'; readonly detail: string};

/** A reply as checked, and as it came for scripts. */
export interface OperatorReply<Value> {
  readonly value: Value;
  readonly json: unknown;
}

/** A call's reply, or why there is none. */
export type OperatorResult<Value> = Promise<
  Result<OperatorReply<Value>, OperatorError>
>;
