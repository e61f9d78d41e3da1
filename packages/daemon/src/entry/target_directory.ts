import type {Incarnation, InstanceName, TargetName} from '@hibiscusbeam/core';

/** The agent that serves a target at present. */
export interface TargetAgent {
  readonly target: TargetName;
  readonly instance: InstanceName;
  readonly address: string;
  readonly incarnation: Incarnation;
}

/** Maps targets and instances to their agents. */
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
      // A replaced agent that was frozen and sends its hello late must not
      // replace its successor, as it would refuse the requests. The agent with
      // the higher incarnation started later.
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
