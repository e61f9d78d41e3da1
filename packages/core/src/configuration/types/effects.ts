import type {Flow} from '../../kernel/flow';
import type {
  CommitEffect,
  CommitReply,
  Milliseconds,
  ReadReply,
  ReadRowEffect,
} from '../../types';

/** Asks the driver to go on after a pause. Replied to with {@link WaitReply}. */
export interface WaitEffect {
  readonly kind: 'wait';
  readonly duration: Milliseconds;
}

/** Reply to {@link WaitEffect}. */
export interface WaitReply {
  readonly kind: 'waited';
}

/** What a flow over the table asks of its driver. */
export type TableFlowEffect = ReadRowEffect | CommitEffect | WaitEffect;

/** What the driver of a flow over the table answers. */
export type TableFlowReply = ReadReply | CommitReply | WaitReply;

/** A flow that needs only the table and pauses. */
export type TableFlow<Outcome> = Flow<TableFlowEffect, TableFlowReply, Outcome>;
