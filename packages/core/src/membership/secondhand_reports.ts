import type {InstanceName} from '../types';
import type {Liveness, LivenessChange, LivenessDelta} from './types';

/** Liveness of instances as reported by other processes. */
export interface SecondhandReports {
  readonly add: (reporter: InstanceName, delta: LivenessDelta) => void;
  /**
   * Combines the reports of all reporters for which `isTrusted` returns true.
   */
  readonly livenessOf: (
    instance: InstanceName,
    isTrusted: (reporter: InstanceName) => boolean,
  ) => Liveness | undefined;
  readonly forget: (reporter: InstanceName) => void;
}

/**
 * Highest precedence first: a message that one live reporter received outweighs
 * the silence that another one sees.
 */
const PRECEDENCE: readonly Liveness[] = [
  'leaving',
  'live',
  'suspect',
  'joining',
  'dead',
];

/** Creates an empty collection of reports. */
export function createSecondhandReports(): SecondhandReports {
  const reports = new Map<InstanceName, Map<InstanceName, LivenessChange>>();
  return {
    add: (reporter, delta) => {
      const known = reports.get(reporter);
      const changes =
        known === undefined || delta.kind === 'all' ? new Map() : known;
      for (const change of delta.changes) changes.set(change.instance, change);
      reports.set(reporter, changes);
    },
    livenessOf: (instance, isTrusted) => {
      let best: LivenessChange | undefined;
      for (const [reporter, changes] of reports) {
        const change = changes.get(instance);
        if (change === undefined || !isTrusted(reporter)) continue;
        if (best === undefined || isBetter(change, best)) best = change;
      }
      return best?.liveness;
    },
    forget: reporter => {
      reports.delete(reporter);
    },
  };
}

function isBetter(one: LivenessChange, other: LivenessChange): boolean {
  if (one.incarnation !== other.incarnation) {
    return one.incarnation > other.incarnation;
  }
  return PRECEDENCE.indexOf(one.liveness) < PRECEDENCE.indexOf(other.liveness);
}
