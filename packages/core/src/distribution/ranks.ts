import type {Digest, InstanceName} from '../types';
import {hash32} from '../utils/hash';

/** Mixes two 32-bit hashes into one (finalizer of MurmurHash3). */
export function mixHashes(left: number, right: number): number {
  let mixed = (left ^ Math.imul(right, 0x9e37_79b1)) >>> 0;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85eb_ca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2_ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Which fetcher requests each chunk from the origin, as seen by one node. */
export interface OriginRanks {
  /**
   * Position in `fetchers` of the rank 0 fetcher, per chunk; -1 if there is
   * none.
   */
  readonly owner: Int32Array;
  /**
   * This node's rank, per chunk; the number of fetchers if it is none of them.
   */
  readonly ownRank: Int32Array;
  /** Position of each chunk in the order of origin requests. */
  readonly originOrder: Int32Array;
}

/**
 * Ranks the fetchers of every chunk by rendezvous hashing. Rank 0 is balanced:
 * with n fetchers, each one gets it for one chunk out of every n. The chunks of
 * a fetcher that is not live move to the next one in rank while all other chunks
 * stay, so nodes with different views of the live fetchers disagree on few
 * chunks.
 */
export function rankFetchers(
  chunks: readonly Digest[],
  fetchers: readonly InstanceName[],
  isLive: (fetcher: InstanceName) => boolean,
  self: InstanceName,
): OriginRanks {
  const fetcherHashes = fetchers.map(fetcher => hash32(fetcher));
  const chunkHashes = chunks.map(chunk => hash32(chunk));
  const down = Uint8Array.from(fetchers, fetcher => (isLive(fetcher) ? 0 : 1));
  const selfPosition = fetchers.indexOf(self);
  const owner = new Int32Array(chunks.length).fill(-1);
  const ownRank = new Int32Array(chunks.length).fill(fetchers.length);
  const originOrder = new Int32Array(chunks.length);
  if (fetchers.length === 0) return {owner, ownRank, originOrder};
  const used = new Uint8Array(fetchers.length);
  const scores = new Uint32Array(fetchers.length);
  sortByHash(chunkHashes).forEach((chunk, index) => {
    if (index % fetchers.length === 0) used.fill(0);
    fetcherHashes.forEach((hash, fetcher) => {
      scores[fetcher] = mixHashes(hash, chunkHashes[chunk]!);
    });
    const balanced = findBest(scores, used);
    used[balanced] = 1;
    originOrder[chunk] = index;
    owner[chunk] = down[balanced] === 0 ? balanced : findBest(scores, down);
    ownRank[chunk] = rankOf(selfPosition, owner[chunk]!, scores, down);
  });
  return {owner, ownRank, originOrder};
}

/** This node's rank per chunk among `members`, by plain rendezvous hashing. */
export function rankAmong(
  chunks: readonly Digest[],
  members: readonly InstanceName[],
  self: InstanceName,
): Int32Array {
  const ownHash = hash32(self);
  const otherHashes = members
    .filter(member => member !== self)
    .map(member => hash32(member));
  return Int32Array.from(chunks, chunk => {
    const chunkHash = hash32(chunk);
    const ownScore = mixHashes(ownHash, chunkHash);
    let rank = 0;
    for (const other of otherHashes) {
      if (mixHashes(other, chunkHash) > ownScore) rank += 1;
    }
    return rank;
  });
}

function sortByHash(chunkHashes: readonly number[]): readonly number[] {
  return chunkHashes
    .map((_hash, position) => position)
    .sort((left, right) => chunkHashes[left]! - chunkHashes[right]!);
}

/** The fetcher with the highest score that is not excluded; -1 if all are. */
function findBest(scores: Uint32Array, excluded: Uint8Array): number {
  let best = -1;
  for (let fetcher = 0; fetcher < scores.length; fetcher += 1) {
    if (excluded[fetcher] === 1) continue;
    if (best === -1 || scores[fetcher]! > scores[best]!) best = fetcher;
  }
  return best;
}

function rankOf(
  self: number,
  owner: number,
  scores: Uint32Array,
  down: Uint8Array,
): number {
  if (self === -1) return scores.length;
  if (self === owner) return 0;
  const ownScore = scores[self]!;
  let rank = 1;
  for (let other = 0; other < scores.length; other += 1) {
    if (other === owner || other === self || down[other] === 1) continue;
    const before = scores[other]! - ownScore || self - other;
    if (before > 0) rank += 1;
  }
  return rank;
}
