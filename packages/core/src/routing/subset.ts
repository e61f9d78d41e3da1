import type {InstanceName, ServiceName, TargetName, ZoneName} from '../types';
import {hash32} from '../utils/hash';
import {
  MIN_ENTRIES_PER_TARGET,
  MIN_TARGETS_PER_SERVICE,
  SAME_ZONE_SHARE,
  SUBSET_SIZE,
  SUBSET_SLACK,
} from './constants';
import {rendezvousScore} from './prefix';

/** A live entry. */
export interface SubsetEntry {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
}

/** A live target with the models or the plain service that it serves. */
export interface SubsetTarget {
  readonly target: TargetName;
  readonly zone: ZoneName;
  readonly serves: readonly ServiceName[];
}

/** All live entries and targets, as known by the requesting entry. */
export interface SubsetRequest {
  readonly entry: InstanceName;
  readonly entries: readonly SubsetEntry[];
  readonly targets: readonly SubsetTarget[];
  /** Number of targets that an entry should connect to. */
  readonly size?: number;
}

interface Holder extends SubsetEntry {
  readonly hash: number;
  held: number;
}

/**
 * Returns the targets that `entry` holds connections to.
 *
 * Each target picks its entries by rendezvous hashing, so that all entries with
 * the same lists agree without coordination, and an entry that joins or leaves
 * changes few choices. Every target is held by `entriesPerTarget` entries. An
 * entry holds at most `SUBSET_SLACK` times the mean, plus
 * `MIN_TARGETS_PER_SERVICE` for each service.
 */
export function chooseSubset(request: SubsetRequest): readonly TargetName[] {
  const {entries, targets, size = SUBSET_SIZE} = request;
  const perTarget = entriesPerTarget(entries.length, targets.length, size);
  const mean = (perTarget * targets.length) / Math.max(1, entries.length);
  const maxHeld = Math.ceil(mean * SUBSET_SLACK);
  const holders = createHolders(entries);
  const chosen: TargetName[] = [];
  for (const target of sortedTargets(targets)) {
    const picked = pickHolders(target, holders, perTarget, maxHeld);
    for (const holder of picked) holder.held += 1;
    if (picked.some(holder => holder.instance === request.entry)) {
      chosen.push(target.target);
    }
  }
  return [...chosen, ...missingServices(request, chosen)];
}

/** Returns the number of entries that hold each target. */
export function entriesPerTarget(
  entryCount: number,
  targetCount: number,
  size: number = SUBSET_SIZE,
): number {
  const even = Math.ceil((size * entryCount) / Math.max(1, targetCount));
  return Math.min(entryCount, Math.max(MIN_ENTRIES_PER_TARGET, even));
}

function createHolders(entries: readonly SubsetEntry[]): readonly Holder[] {
  return [...entries]
    .sort((left, right) => (left.instance < right.instance ? -1 : 1))
    .map(entry => ({...entry, hash: hash32(entry.instance), held: 0}));
}

function sortedTargets(
  targets: readonly SubsetTarget[],
): readonly SubsetTarget[] {
  return [...targets].sort((left, right) =>
    left.target < right.target ? -1 : 1,
  );
}

/**
 * Picks the target's best entries: most from its own zone, the rest from any.
 */
function pickHolders(
  target: SubsetTarget,
  holders: readonly Holder[],
  count: number,
  maxHeld: number,
): readonly Holder[] {
  const hash = hash32(target.target);
  const ranked = holders
    .map(holder => ({holder, score: rendezvousScore(hash, holder.hash)}))
    .sort((left, right) => right.score - left.score)
    .map(entry => entry.holder);
  // Entries below the bound come first. A full one is picked only if there are
  // too few others, because no target may stay without entries.
  const open = ranked.filter(holder => holder.held < maxHeld);
  const full = ranked.filter(holder => holder.held >= maxHeld);
  const near = open.filter(holder => holder.zone === target.zone);
  const picked = new Set(near.slice(0, Math.ceil(SAME_ZONE_SHARE * count)));
  for (const holder of [...open, ...full]) {
    if (picked.size >= count) break;
    picked.add(holder);
  }
  return [...picked];
}

/**
 * Returns targets to add so that the entry can serve every model and service.
 */
function missingServices(
  request: SubsetRequest,
  chosen: readonly TargetName[],
): readonly TargetName[] {
  const held = new Set(chosen);
  const entryHash = hash32(request.entry);
  const services = new Set(request.targets.flatMap(target => target.serves));
  const added: TargetName[] = [];
  for (const service of services) {
    const serving = request.targets.filter(t => t.serves.includes(service));
    const known = serving.filter(t => held.has(t.target)).length;
    const missing = Math.min(MIN_TARGETS_PER_SERVICE, serving.length) - known;
    if (missing <= 0) continue;
    const best = serving
      .filter(target => !held.has(target.target))
      .map(target => ({
        target: target.target,
        score: rendezvousScore(entryHash, hash32(target.target)),
      }))
      .sort((left, right) => right.score - left.score)
      .slice(0, missing);
    for (const {target} of best) {
      held.add(target);
      added.push(target);
    }
  }
  return added;
}
