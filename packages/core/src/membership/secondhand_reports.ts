import type {InstanceName} from '../types';
import type {Liveness, LivenessChange, LivenessDelta} from './types';

/** What others say of instances. */
export interface SecondhandReports {
  readonly add: (reporter: InstanceName, delta: LivenessDelta) => void;
  /** Combines what the tellers for which `believes` holds say. */
  readonly livenessOf: (
    instance: InstanceName,
    isTrusted: (reporter: InstanceName) => boolean,
  ) => Liveness | undefined;
  readonly forget: (reporter: InstanceName) => void;
}

/** Best first: what one live teller hears outweighs another's silence. */
const PRECEDENCE: readonly Liveness[] = [
  'leaving',
  'live',
  'suspect',
  'joining',
  'dead',
];

/** Hearsay of nobody yet. */
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
