import {
  unreachable,
  type AttemptAddress,
  type TombstoneAnswer,
} from '@hibiscusbeam/core';
import {TombstoneReply_State, type TombstoneReply} from '@hibiscusbeam/wire';
import type {SiteClientPool} from '../site/site_clients';

/**
 * Requests a tombstone from an agent within `remaining` milliseconds. Returns
 * undefined if the request fails or times out.
 */
export function requestTombstone(
  clients: SiteClientPool,
  agentAddress: string,
  {attempt, incarnation}: AttemptAddress,
  remaining: number,
): Promise<TombstoneAnswer | undefined> {
  const {agent} = clients.at(agentAddress);
  // gRPC takes the deadline as wall clock time.
  const deadline = Date.now() + remaining;
  return new Promise(resolve => {
    agent.tombstone(
      {attempt, incarnation},
      clients.metadata,
      {deadline},
      (error, reply) => resolve(error === null ? answerOf(reply) : undefined),
    );
  });
}

function answerOf(reply: TombstoneReply): TombstoneAnswer | undefined {
  const {attempt, incarnation} = reply;
  switch (reply.state) {
    case TombstoneReply_State.STATE_TOMBSTONED:
      return {attempt, incarnation, state: 'tombstoned'};
    case TombstoneReply_State.STATE_STARTED:
      return {attempt, incarnation, state: 'started'};
    case TombstoneReply_State.STATE_FINISHED:
      return {attempt, incarnation, state: 'finished'};
    case TombstoneReply_State.STATE_FORGOTTEN:
      return {attempt, incarnation, state: 'forgotten'};
    case TombstoneReply_State.STATE_OTHER_INCARNATION:
      return {attempt, incarnation, state: 'otherIncarnation'};
    case TombstoneReply_State.STATE_UNSPECIFIED:
    case TombstoneReply_State.UNRECOGNIZED:
      return undefined;
    default:
      return unreachable(reply.state);
  }
}
