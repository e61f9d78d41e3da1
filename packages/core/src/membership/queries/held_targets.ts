import type {InstanceName, TargetName} from '../../types';
import {hash32} from '../../utils/hash';
import {
  MIN_HELD_PER_GROUP,
  HOLDERS_PER_TARGET,
  SMALL_SITE_ENTRIES,
  SMALL_SITE_TARGETS,
} from '../bounds';

/** Max load of an entry relative to its fair share. */
const LOAD_FACTOR = 1.25;

/** Input of the choice; equal inputs give equal choices in all processes. */
export interface HeldTargetsInput {
  readonly entry: InstanceName;
  /** All entries that are not dead or leaving, including this one. */
  readonly entries: readonly InstanceName[];
  /** Targets of one model or one service. */
  readonly targets: readonly TargetName[];
}

interface HashedName {
  readonly name: string;
  readonly hash: number;
}

/** Max targets of a group that one entry holds. */
export function maxHeldTargets(entries: number, targets: number): number {
  if (isSmall(entries, targets)) return targets;
  const holders = Math.min(HOLDERS_PER_TARGET, entries);
  const pairs = targets * holders;
  const fair = Math.ceil((LOAD_FACTOR * pairs) / Math.max(1, entries)) + 1;
  // With this limit a target always finds enough entries that are not full.
  const minRoom = Math.ceil(pairs / Math.max(1, entries - holders));
  const minHeld = Math.min(targets, MIN_HELD_PER_GROUP);
  return Math.min(targets, Math.max(fair, minRoom, minHeld));
}

/**
 * Chooses the targets of one group that an entry holds sessions with. Each
 * target is held by HOLDERS_PER_TARGET entries, or by all of them if there are
 * fewer, and each entry holds MIN_HELD_PER_GROUP targets, or all of them if
 * there are fewer. On a small site each entry holds all targets.
 */
export function chooseHeldTargets(
  input: HeldTargetsInput,
): readonly TargetName[] {
  const entries = sortedByHash(input.entries);
  const self = entries.findIndex(entry => entry.name === input.entry);
  if (self < 0) return [];
  if (isSmall(entries.length, input.targets.length)) return input.targets;
  const targets = sortedByHash(input.targets);
  const bound = maxHeldTargets(entries.length, targets.length);
  const held = new Set<TargetName>();
  const load = new Array<number>(entries.length).fill(0);
  for (const target of targets) {
    for (const holder of holdersOf(target, entries, load, bound)) {
      load[holder] = (load[holder] ?? 0) + 1;
      if (holder === self) held.add(target.name);
    }
  }
  fillToMinimum(entries[self] as HashedName, targets, held);
  return [...held];
}

function isSmall(entries: number, targets: number): boolean {
  return entries <= SMALL_SITE_ENTRIES && targets <= SMALL_SITE_TARGETS;
}

/** Positions of the best-ranked entries for a target that are not full. */
function holdersOf(
  target: HashedName,
  entries: readonly HashedName[],
  load: readonly number[],
  bound: number,
): readonly number[] {
  const best: {position: number; score: number}[] = [];
  for (let position = 0; position < entries.length; position += 1) {
    if ((load[position] ?? 0) >= bound) continue;
    const score = pairScore(
      (entries[position] as HashedName).hash,
      target.hash,
    );
    if (best.length === HOLDERS_PER_TARGET) {
      if (score <= (best.at(-1)?.score ?? 0)) continue;
      best.pop();
    }
    best.push({position, score});
    best.sort((left, right) => right.score - left.score);
  }
  return best.map(candidate => candidate.position);
}

function fillToMinimum(
  entry: HashedName,
  targets: readonly HashedName[],
  held: Set<TargetName>,
): void {
  if (held.size >= MIN_HELD_PER_GROUP) return;
  const ranked = targets
    .map(({name, hash}) => ({name, score: pairScore(entry.hash, hash)}))
    .sort((left, right) => right.score - left.score);
  for (const {name} of ranked) {
    if (held.size >= MIN_HELD_PER_GROUP) return;
    held.add(name);
  }
}

function sortedByHash(names: readonly string[]): readonly HashedName[] {
  return names
    .map(name => ({name, hash: hash32(name)}))
    .sort(
      (left, right) =>
        left.hash - right.hash || (left.name < right.name ? -1 : 1),
    );
}

/** Mixes two hashes; each name is hashed only once, not once per pair. */
function pairScore(left: number, right: number): number {
  let mixed = left ^ Math.imul(right, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
