import type {InstanceName} from '../types';
import {takeList} from './commands/list';
import {
  noteSessionLost,
  takeGoodbye,
  takeHeartbeat,
  takeHello,
} from './commands/messages';
import {tickMembers} from './commands/tick';
import {createMembershipMemory} from './membership_memory';
import {changesSince, listMembers, livenessOf} from './queries/liveness';
import type {Membership} from './types';

/** What the instance `self` knows of the others. */
export function createMembership(self: InstanceName): Membership {
  const memory = createMembershipMemory(self);
  return {
    hello: (identity, incarnation, now) =>
      takeHello(memory, identity, incarnation, now),
    heartbeat: (heartbeat, now) => takeHeartbeat(memory, heartbeat, now),
    goodbye: (instance, incarnation, now) =>
      takeGoodbye(memory, instance, incarnation, now),
    sessionLost: (instance, incarnation, now) =>
      noteSessionLost(memory, instance, incarnation, now),
    list: (lines, now) => takeList(memory, lines, now),
    tick: now => tickMembers(memory, now),
    takeDelta: (teller, delta) => memory.hearsay.take(teller, delta),
    members: () => listMembers(memory),
    livenessOf: instance => livenessOf(memory, instance),
    changesSince: position => changesSince(memory, position),
  };
}
