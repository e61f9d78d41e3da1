import type {Incarnation, InstanceName, TargetName} from '@hibiscusbeam/core';

/** The agent that speaks for a target at present. */
export interface TargetAgent {
  readonly target: TargetName;
  readonly instance: InstanceName;
  readonly address: string;
  readonly incarnation: Incarnation;
}

/** Which agent speaks for which target. */
export interface TargetDirectory {
  readonly put: (agent: TargetAgent) => void;
  readonly remove: (instance: InstanceName) => void;
  readonly findByTarget: (target: TargetName) => TargetAgent | undefined;
  readonly findByInstance: (instance: InstanceName) => TargetAgent | undefined;
}

/** Creates an empty directory. */
export function createTargetDirectory(): TargetDirectory {
  const byTarget = new Map<TargetName, TargetAgent>();
  const byInstance = new Map<InstanceName, TargetAgent>();
  return {
    put: agent => {
      const current = byTarget.get(agent.target);
      byInstance.set(agent.instance, agent);
      // A replaced agent that wakes and says hello late must not take the
      // target's place back: requests would go to a process that refuses
      // them. The one with the higher number started later.
      const isOlder =
        current !== undefined &&
        current.instance === agent.instance &&
        current.incarnation > agent.incarnation;
      if (!isOlder) byTarget.set(agent.target, agent);
    },
    remove: instance => {
      const agent = byInstance.get(instance);
      if (agent === undefined) return;
      byInstance.delete(instance);
      if (byTarget.get(agent.target)?.instance === instance) {
        byTarget.delete(agent.target);
      }
    },
    findByTarget: target => byTarget.get(target),
    findByInstance: instance => byInstance.get(instance),
  };
}
