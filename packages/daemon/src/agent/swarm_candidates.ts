import type {
  InstanceName,
  Member,
  Milliseconds,
  MonotonicInstant,
} from '@hibiscusbeam/core';

/** A neighbour that stays silent this long after it was chosen is excluded. */
const MAX_NEIGHBOUR_SILENCE: Milliseconds = 6_000;

/** After this time it may be chosen again, if the platform still lists it. */
const EXCLUSION_TIME: Milliseconds = 30_000;

/** Which agents the swarm may choose its neighbours from. */
export interface SwarmCandidates {
  /** `neighbours` are those that the swarm has chosen now. */
  readonly choose: (
    agents: readonly Member[],
    neighbours: ReadonlySet<InstanceName>,
    now: MonotonicInstant,
  ) => readonly Member[];
}

/**
 * Agents hold sessions with their neighbours only, so that all others are
 * silent and count as dead a few seconds after the start. If dead agents were
 * left out, a later version would find no live agent and each instance would
 * fetch all of it from the origin. Therefore only an agent that stays silent
 * while it is a neighbour is excluded, for a limited time.
 */
export function createSwarmCandidates(): SwarmCandidates {
  const chosenAt = new Map<InstanceName, MonotonicInstant>();
  const excludedUntil = new Map<InstanceName, MonotonicInstant>();

  const isCandidate = (agent: Member, now: MonotonicInstant): boolean => {
    const {instance, liveness} = agent;
    if (liveness !== 'dead') return true;
    const since = chosenAt.get(instance);
    if (since !== undefined && now - since >= MAX_NEIGHBOUR_SILENCE) {
      excludedUntil.set(instance, now + EXCLUSION_TIME);
      chosenAt.delete(instance);
    }
    return now >= (excludedUntil.get(instance) ?? now);
  };

  return {
    choose: (agents, neighbours, now) => {
      for (const instance of chosenAt.keys()) {
        if (!neighbours.has(instance)) chosenAt.delete(instance);
      }
      for (const instance of neighbours) {
        if (!chosenAt.has(instance)) chosenAt.set(instance, now);
      }
      return agents.filter(agent => isCandidate(agent, now));
    },
  };
}
