import type {InstanceName} from '../types';
import {applyList} from './commands/list';
import {
  handleSessionLost,
  handleGoodbye,
  handleHeartbeat,
  handleHello,
} from './commands/messages';
import {tickMembers} from './commands/tick';
import {createMembershipState} from './membership_state';
import {changesSince, listMembers, livenessOf} from './queries/liveness';
import type {Membership} from './types';

/** What the instance `self` knows of the others. */
export function createMembership(self: InstanceName): Membership {
  const state = createMembershipState(self);
  return {
    hello: (identity, incarnation, now) =>
      handleHello(state, identity, incarnation, now),
    heartbeat: (heartbeat, now) => handleHeartbeat(state, heartbeat, now),
    goodbye: (instance, incarnation, now) =>
      handleGoodbye(state, instance, incarnation, now),
    sessionLost: (instance, incarnation, now) =>
      handleSessionLost(state, instance, incarnation, now),
    list: (lines, now) => applyList(state, lines, now),
    tick: now => tickMembers(state, now),
    applyDelta: (teller, delta) => state.secondhandReports.add(teller, delta),
    members: () => listMembers(state),
    livenessOf: instance => livenessOf(state, instance),
    changesSince: position => changesSince(state, position),
  };
}
