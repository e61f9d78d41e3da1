import type {InstanceName} from '../types';
import {hash32} from '../utils/hash';
import {mixHashes} from './ranks';
import type {SwarmMember} from './types';

/** Number of members that each node picks. */
export interface NeighbourPicks {
  readonly ownZone: number;
  readonly crossZone: number;
}

interface HashedMember extends SwarmMember {
  readonly hash: number;
}

/**
 * Chooses a node's neighbours among the live members. Two members are
 * neighbours if either one picks the other, so both ends agree without
 * exchanging messages, and a member that leaves affects only its own edges. A
 * zone with too few members is topped up from other zones.
 */
export function chooseNeighbours(
  self: SwarmMember,
  members: readonly SwarmMember[],
  picks: NeighbourPicks,
): readonly InstanceName[] {
  const hashed = members.map(member => ({
    ...member,
    hash: hash32(member.instance),
  }));
  const own = {...self, hash: hash32(self.instance)};
  const picked = new Set(choosePicks(own, hashed, picks));
  for (const member of hashed) {
    if (member.instance === self.instance) continue;
    if (wouldPick(member, own, hashed, picks)) picked.add(member.instance);
  }
  return [...picked].sort();
}

/**
 * Whether `from` picks `to`. It counts better candidates, because sorting all
 * members for each pair would be slow.
 */
function wouldPick(
  from: HashedMember,
  to: HashedMember,
  members: readonly HashedMember[],
  picks: NeighbourPicks,
): boolean {
  const score = pairScore(from.hash, to.hash);
  let zoneSize = 0;
  let better = 0;
  for (const other of members) {
    if (other.instance === from.instance) continue;
    if (other.zone === from.zone) zoneSize += 1;
    if (other.instance === to.instance) continue;
    if ((other.zone === from.zone) !== (to.zone === from.zone)) continue;
    const otherScore = pairScore(from.hash, other.hash);
    if (otherScore > score) better += 1;
    if (otherScore === score && other.instance < to.instance) better += 1;
  }
  if (to.zone === from.zone) return better < picks.ownZone;
  const missing = Math.max(0, picks.ownZone - zoneSize);
  return better < picks.crossZone + missing;
}

function choosePicks(
  from: HashedMember,
  members: readonly HashedMember[],
  picks: NeighbourPicks,
): readonly InstanceName[] {
  const ranked = members
    .filter(member => member.instance !== from.instance)
    .map(member => ({member, score: pairScore(from.hash, member.hash)}))
    .sort(
      (left, right) =>
        right.score - left.score ||
        (left.member.instance < right.member.instance ? -1 : 1),
    )
    .map(entry => entry.member);
  const ownZone = ranked.filter(member => member.zone === from.zone);
  const crossZone = ranked.filter(member => member.zone !== from.zone);
  const own = ownZone.slice(0, picks.ownZone);
  const missing = picks.ownZone - own.length;
  const cross = crossZone.slice(0, picks.crossZone + missing);
  return [...own, ...cross].map(member => member.instance);
}

/** Symmetric, so that both ends compute the same score. */
function pairScore(left: number, right: number): number {
  return mixHashes(Math.min(left, right), Math.max(left, right));
}
