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

/** Creates the membership as seen by the instance `self`. */
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
    applyDelta: (reporter, delta) =>
      state.secondhandReports.add(reporter, delta),
    members: () => listMembers(state),
    livenessOf: instance => livenessOf(state, instance),
    changesSince: position => changesSince(state, position),
  };
}
