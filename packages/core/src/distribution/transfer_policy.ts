import type {Bytes, Milliseconds} from '../types';

/** How an agent beside an engine moves chunks. */
export interface TransferPolicy {
  /** Chunk bytes that downloads may hold in memory at once. */
  readonly transferBuffer: Bytes;
  /** Downloads and uploads at once; few, so that little queues on the link. */
  readonly downloadSlots: number;
  readonly uploadSlots: number;
  /** Members of a zone that may copy a chunk in from another one at once. */
  readonly crossZoneRanks: number;
  /** Wait for the other agents' have-maps before the origin is asked. */
  readonly settleTime: Milliseconds;
  /** Longest wait before a lost origin is asked again. */
  readonly longestOriginWait: Milliseconds;
  /** Share of a link, from 0 to 1, that transfers leave free at all times. */
  readonly headroom: number;
  /** Share of its link that an engine's agent takes while the engine serves. */
  readonly shareBesideLive: number;
  /** Bytes of a chunk that are sent at once. */
  readonly pieceSize: Bytes;
}

/**
 * The policy that agents serve with.
 *
 * - Six downloads keep a link busy while senders queue; two uploads, so that
 *   little queues on the link.
 * - One member of a zone copies a chunk in, since bytes between zones cost.
 * - Agents learn of a version within 100 ms of one another, and settle a bit
 *   longer.
 * - A version has 8 s in all and needs 4 s of them: with waits for a lost origin
 *   of up to 5 s, engines had one 4.9 s after the origin's return, and no request
 *   could begin anywhere for 3.4 s.
 * - Beside live requests 0.7 of a link: an event that waits behind chunks is late
 *   for its caller. An engine that serves nothing has none, and its agent leaves
 *   only what reports need.
 * - A whole chunk takes a link of 6.6 Mbit/s for 60 ms, and an event of a live
 *   answer would wait behind it.
 */
export const AGENT_TRANSFER_POLICY: TransferPolicy = {
  transferBuffer: 16 * 1024 * 1024,
  downloadSlots: 6,
  uploadSlots: 2,
  crossZoneRanks: 1,
  settleTime: 120,
  longestOriginWait: 400,
  headroom: 0.03,
  shareBesideLive: 0.7,
  pieceSize: 8 * 1024,
};
