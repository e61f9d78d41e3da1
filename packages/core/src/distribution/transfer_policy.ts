import type {Bytes, Milliseconds} from '../types';

/** Transfer settings of an agent that runs alongside an engine. */
export interface TransferPolicy {
  /** Max chunk bytes that downloads may hold in memory at the same time. */
  readonly transferBuffer: Bytes;
  /** Max concurrent downloads; enough to keep a link busy. */
  readonly downloadSlots: number;
  /** Max concurrent uploads; low, so that little queues on the link. */
  readonly uploadSlots: number;
  /**
   * Max members of a zone that copy the same chunk from another zone at once.
   */
  readonly crossZoneRanks: number;
  /**
   * Time to wait for the other agents' have-maps before requesting chunks from
   * the origin.
   */
  readonly settleTime: Milliseconds;
  /** Max backoff before an unreachable origin is requested again. */
  readonly longestOriginWait: Milliseconds;
  /** Fraction of a link, from 0 to 1, that transfers always leave free. */
  readonly headroom: number;
  /**
   * Fraction of its link that an agent uses while its engine serves requests.
   */
  readonly shareBesideLive: number;
  /** Bytes of a chunk that are sent in one piece. */
  readonly pieceSize: Bytes;
}

/**
 * Transfer policy of the agents.
 *
 * - Six downloads keep a link busy while senders queue. Two uploads keep the
 *   queue on the link short.
 * - One member of a zone copies a chunk from another zone, because traffic
 *   between zones is costly.
 * - Agents learn of a version within 100 ms of one another; the settle time is
 *   slightly longer.
 * - A version must arrive within 8 s, and its transfer takes 4 s. With origin
 *   backoffs of up to 5 s, engines had a version only 4.9 s after the origin
 *   came back, and no request could start anywhere for 3.4 s.
 * - Alongside live requests, transfers use 0.7 of a link, because a response
 *   event that queues behind chunks reaches its caller late. An engine that
 *   serves nothing has no such events, and its agent leaves free only the
 *   headroom, which reports need.
 * - A whole chunk occupies a link of 6.6 Mbit/s for 60 ms, and an event of a
 *   live response would wait for it. Chunks are therefore sent in pieces.
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
