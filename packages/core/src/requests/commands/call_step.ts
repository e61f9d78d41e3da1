import type {TableRow} from '../../types';
import type {OwnAttempt} from '../evidence';
import type {AttemptAddress, RequestResult} from '../types';
import type {FreeClaim} from './claim_records';

/** What the call does next. */
export type CallStep =
  /** Claim the key over `base`; `undefined`: over no row. */
  | {readonly kind: 'claim'; readonly base: FreeClaim | undefined}
  /** Decide by the row that already exists at the key. */
  | {readonly kind: 'existingRow'; readonly row: TableRow}
  /** Run the flow's own attempt, whose claim has `version`. */
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
