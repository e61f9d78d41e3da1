import {
  unreachable,
  type CommitReply,
  type Flow,
  type ReadReply,
  type TableTransaction,
} from '@hibiscusbeam/core';
import type {TableService} from '@hibiscusbeam/platform';
import {sleep, type Clock} from './clock';
import {drive} from './drive';

/** Effects of flows that only need the table, the clock and waits. */
export type TableFlowEffect =
  | {readonly kind: 'readRow'; readonly key: string}
  | {readonly kind: 'commit'; readonly transaction: TableTransaction}
  | {readonly kind: 'readClock'}
  | {readonly kind: 'wait'; readonly duration: number};

/** Replies to {@link TableFlowEffect}. */
export type TableFlowReply =
  | ReadReply
  | CommitReply
  | {readonly kind: 'clock'; readonly now: number}
  | {readonly kind: 'waited'};

/** Runs a flow against the platform's table. */
export function runTableFlow<Outcome>(
  flow: Flow<TableFlowEffect, TableFlowReply, Outcome>,
  table: TableService,
  clock: Clock,
): Promise<Outcome> {
  return drive(flow, async (effect): Promise<TableFlowReply> => {
    switch (effect.kind) {
      case 'readRow':
        return {kind: 'row', result: await table.read(effect.key)};
      case 'commit':
        return {
          kind: 'commit',
          result: await table.commit(effect.transaction),
        };
      case 'readClock':
        return {kind: 'clock', now: clock()};
      case 'wait':
        await sleep(effect.duration);
        return {kind: 'waited'};
      default:
        return unreachable(effect);
    }
  });
}
