import type {InstanceName} from '../types';
import type {Liveness, LivenessChange, LivenessDelta} from './types';

/** What others say of instances. */
export interface Hearsay {
  readonly take: (teller: InstanceName, delta: LivenessDelta) => void;
  /** Combines what the tellers for which `believes` holds say. */
  readonly livenessOf: (
    instance: InstanceName,
    believes: (teller: InstanceName) => boolean,
  ) => Liveness | undefined;
  readonly forget: (teller: InstanceName) => void;
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
export function createHearsay(): Hearsay {
  const told = new Map<InstanceName, Map<InstanceName, LivenessChange>>();
  return {
    take: (teller, delta) => {
      const known = told.get(teller);
      const words =
        known === undefined || delta.kind === 'all' ? new Map() : known;
      for (const change of delta.changes) words.set(change.instance, change);
      told.set(teller, words);
    },
    livenessOf: (instance, believes) => {
      let best: LivenessChange | undefined;
      for (const [teller, words] of told) {
        const word = words.get(instance);
        if (word === undefined || !believes(teller)) continue;
        if (best === undefined || isBetter(word, best)) best = word;
      }
      return best?.liveness;
    },
    forget: teller => {
      told.delete(teller);
    },
  };
}

function isBetter(word: LivenessChange, other: LivenessChange): boolean {
  if (word.incarnation !== other.incarnation) {
    return word.incarnation > other.incarnation;
  }
  return PRECEDENCE.indexOf(word.liveness) < PRECEDENCE.indexOf(other.liveness);
}
