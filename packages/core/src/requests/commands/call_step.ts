import type {TableRow} from '../../types';
import type {OwnAttempt} from '../evidence';
import type {AttemptAddress, RequestResult} from '../types';
import type {FreeClaim} from './claim_records';

/** What the call does next. */
export type CallStep =
  /** Claim the key over `base`; `undefined`: over no row. */
  | {readonly kind: 'claim'; readonly base: FreeClaim | undefined}
  /** See what the row that stands there means for this call. */
  | {readonly kind: 'meet'; readonly row: TableRow}
  /** Run the own attempt, whose claim stands at `version`. */
  | {
      readonly kind: 'run';
      readonly own: OwnAttempt;
      readonly address: AttemptAddress;
      readonly version: number;
    }
  | {readonly kind: 'end'; readonly result: RequestResult};

/** Ends the call with its final answer. */
export function end(result: RequestResult): CallStep {
  return {kind: 'end', result};
}
