import {
  chooseHeldTargets,
  rendezvousOrder,
  type InstanceName,
  type Member,
} from '@hibiscusbeam/core';

/** Maximum number of other entries to which an entry opens sessions. */
const MAX_ENTRY_NEIGHBOURS = 8;

/** Input for the choice of sessions. */
export interface SessionChoice {
  readonly instance: InstanceName;
  readonly members: readonly Member[];
  /** Instances that the platform's list names as live. */
  readonly listed: ReadonlySet<InstanceName>;
}

/**
 * Chooses the members with which an entry keeps a session. Members that are
 * dead or leaving don't displace others, but are tried as well while the
 * platform lists them as live.
 *
 * Without this, an instance that was frozen, slow to start, restarted in its
 * slot or has cancelled its leave would count as out at every entry. As agents
 * connect to no entry, it would get no request for the rest of its lifetime.
 */
export function chooseSessions(choice: SessionChoice): readonly Member[] {
  const {members, listed} = choice;
  const present = members.filter(({liveness}) => !isDeadOrLeaving(liveness));
  const returning = members.filter(
    ({liveness, instance}) => isDeadOrLeaving(liveness) && listed.has(instance),
  );
  const chosen = chooseInstances(choice.instance, present);
  const chosenWithReturning = chooseInstances(choice.instance, [
    ...present,
    ...returning,
  ]);
  return [
    ...present.filter(({instance}) => chosen.has(instance)),
    ...returning.filter(({instance}) => chosenWithReturning.has(instance)),
  ];
}

function isDeadOrLeaving(liveness: Member['liveness']): boolean {
  return liveness === 'dead' || liveness === 'leaving';
}

function chooseInstances(
  instance: InstanceName,
  members: readonly Member[],
): ReadonlySet<InstanceName> {
  const namesOf = (role: Member['role']): readonly InstanceName[] =>
    members
      .filter(member => member.role === role && member.instance !== instance)
      .map(member => member.instance);
  const entries = namesOf('entry');
  const neighbours = rendezvousOrder(instance, entries);
  const held = chooseHeldTargets({
    entry: instance,
    entries: [instance, ...entries],
    targets: namesOf('agent'),
  });
  return new Set([...neighbours.slice(0, MAX_ENTRY_NEIGHBOURS), ...held]);
}

/**
 * Creates a chooser that repeats the choice only when members or list have
 * changed. With 390 entries and 600 targets, a choice takes 35 to 78 ms, which
 * four times a second exceeds a node's CPU budget.
 */
export function createSessionChooser(): (
  choice: SessionChoice,
) => readonly Member[] {
  let lastKey = '';
  let lastChosen: readonly Member[] = [];
  return choice => {
    const key = keyOf(choice);
    if (key === lastKey) return lastChosen;
    lastKey = key;
    lastChosen = chooseSessions(choice);
    return lastChosen;
  };
}

function keyOf({members, listed}: SessionChoice): string {
  const parts = members.map(
    ({instance, address, liveness}) =>
      `${instance} ${address} ${liveness} ${listed.has(instance)}`,
  );
  return parts.join('\n');
}
