import type {Result} from 'ts-results';
import type {
  CommitOutcome,
  PlatformError,
  TableKey,
  TableRow,
  TableTransaction,
} from '../../types';
import type {
  AttemptEvent,
  ChooseTargetEffect,
  RequestEffect,
  RequestFlow,
  RequestReply,
  TargetChoice,
  TombstoneAnswer,
  TombstoneEffect,
} from '../types';

/** Yields an effect; throws if the driver's reply is of another kind. */
export function* perform<Kind extends RequestReply['kind']>(
  effect: RequestEffect,
  kind: Kind,
): RequestFlow<Extract<RequestReply, {readonly kind: Kind}>> {
  const reply = yield effect;
  if (reply.kind !== kind) {
    throw new Error(`${effect.kind} was replied to with ${reply.kind}`);
  }
  return reply as Extract<RequestReply, {readonly kind: Kind}>;
}

/** Reads one row. */
export function* readRow(
  key: TableKey,
): RequestFlow<Result<TableRow | undefined, PlatformError>> {
  return (yield* perform({kind: 'readRow', key}, 'row')).result;
}

/** Commits one transaction. */
export function* commit(
  transaction: TableTransaction,
): RequestFlow<Result<CommitOutcome, PlatformError>> {
  return (yield* perform({kind: 'commit', transaction}, 'commit')).result;
}

/** Awaits one event of an attempt. */
export function* nextEvent(
  effect: Extract<
    RequestEffect,
    {readonly kind: 'dispatch' | 'collect' | 'awaitEvent'}
  >,
): RequestFlow<AttemptEvent> {
  // Does without `perform`, since this step runs once for each token.
  const reply = yield effect;
  if (reply.kind === 'event') return reply.event;
  throw new Error(`${effect.kind} was replied to with ${reply.kind}`);
}

/** Requests a tombstone; `undefined` if no answer arrived in time. */
export function* requestTombstone(
  effect: TombstoneEffect,
): RequestFlow<TombstoneAnswer | undefined> {
  return (yield* perform(effect, 'tombstone')).answer;
}

/** Asks routing for a target. */
export function* chooseTarget(
  effect: ChooseTargetEffect,
): RequestFlow<TargetChoice> {
  return (yield* perform(effect, 'choice')).choice;
}
