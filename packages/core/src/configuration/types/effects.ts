import type {Flow} from '../../kernel/flow';
import type {
  CommitEffect,
  CommitReply,
  Milliseconds,
  ReadReply,
  ReadRowEffect,
} from '../../types';

/**
 * Asks the driver to resume the flow after a pause. Replied to with
 * {@link WaitReply}.
 */
export interface WaitEffect {
  readonly kind: 'wait';
  readonly duration: Milliseconds;
}

/** Reply to {@link WaitEffect}. */
export interface WaitReply {
  readonly kind: 'waited';
}

/** Effects that a flow over the table requests from its driver. */
export type TableFlowEffect = ReadRowEffect | CommitEffect | WaitEffect;

/** Replies of the driver of a flow over the table. */
export type TableFlowReply = ReadReply | CommitReply | WaitReply;

/** A flow that uses only the table and pauses. */
export type TableFlow<Outcome> = Flow<TableFlowEffect, TableFlowReply, Outcome>;
