import type {Suspect, TargetIncarnation} from '../types';
import type {EndedLife} from './types';

/**
 * Number of targets that may end during attempts with a suspect before it is
 * quarantined.
 */
export const ENDINGS_TO_QUARANTINE = 3;

/** The evidence against one suspect since it was last answered. */
export interface Evidence {
  readonly suspect: Suspect;
  readonly endings: ReadonlyMap<TargetIncarnation, EndedLife>;
  /** Whether a target has ever survived an answer to a request with it. */
  readonly wasAnswered: boolean;
  /** Position of a part in its prompts, from 1; undefined for a request. */
  readonly depth: number | undefined;
}

/**
 * Selects the suspects that caused the ends of targets; those that only shared
 * their targets with worse ones are not selected.
 */
export function findCulprits(
  evidence: Iterable<Evidence>,
): ReadonlySet<Suspect> {
  const culprits = new Set<Suspect>();
  const explained = new Set<TargetIncarnation>();
  for (const group of groupsBySeverity(evidence)) {
    const found = group.filter(candidate => isCulprit(candidate, explained));
    for (const {suspect, endings} of found) {
      culprits.add(suspect);
      for (const life of endings.keys()) explained.add(life);
    }
  }
  return culprits;
}

/** Yields the suspects with enough endings, the equally severe together. */
function* groupsBySeverity(
  evidence: Iterable<Evidence>,
): Generator<readonly Evidence[]> {
  const candidates = [...evidence]
    .filter(({endings}) => endings.size >= ENDINGS_TO_QUARANTINE)
    .sort(compareSeverity);
  let group: Evidence[] = [];
  for (const candidate of candidates) {
    const [first] = group;
    if (first !== undefined && compareSeverity(first, candidate) !== 0) {
      yield group;
      group = [];
    }
    group.push(candidate);
  }
  if (group.length > 0) yield group;
}

/**
 * The worst first: never answered, then most endings, then the most specific.
 * A part comes after those that more prompts share.
 */
function compareSeverity(one: Evidence, other: Evidence): number {
  return (
    Number(one.wasAnswered) - Number(other.wasAnswered) ||
    other.endings.size - one.endings.size ||
    specificity(other) - specificity(one)
  );
}

function specificity({depth}: Evidence): number {
  return depth ?? Number.MAX_SAFE_INTEGER;
}

function isCulprit(
  {endings, wasAnswered}: Evidence,
  explained: ReadonlySet<TargetIncarnation>,
): boolean {
  const unexplained = [...endings.values()].filter(
    ({life}) => !explained.has(life),
  );
  if (!wasAnswered) return unexplained.length > 0;
  return countConsecutive(unexplained) >= ENDINGS_TO_QUARANTINE;
}

/**
 * Counts endings whose attempt was sent after the previous one had ended. An
 * outage ends many targets at once, each with an attempt of a popular suspect.
 */
function countConsecutive(endings: readonly EndedLife[]): number {
  let count = 0;
  let lastEndedAt = -Infinity;
  const inOrder = [...endings].sort(
    (one, other) => one.endedAt - other.endedAt,
  );
  for (const {sentAt, endedAt} of inOrder) {
    if (sentAt <= lastEndedAt) continue;
    count += 1;
    lastEndedAt = endedAt;
  }
  return count;
}
