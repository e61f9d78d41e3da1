import type {
  AcceptedConfiguration,
  DigestText,
  Generation,
  InstanceName,
  Milliseconds,
  ReadReply,
  TableKey,
} from '../../types';
import {rendezvousOrder} from '../../utils/hash';
import {initialConfiguration} from '../queries/initial_configuration';
import {bodyKey, decodeAccepted, decodeHead, HEAD_KEY} from '../queries/rows';
import type {PeerAnswer, StartEffect, StartFlow, StartReply} from '../types';

/** Most peers that one starting process asks: bounds the load of a restart. */
const MAX_QUERIED_PEERS = 64;

/** Pause before the platform and the peers are asked again. */
const RETRY_DELAY: Milliseconds = 500;

/** What a starting process needs to know of itself. */
export interface LearnGenerationOptions {
  readonly instance: InstanceName;
  readonly digestText: DigestText;
}

/**
 * Learns the generation in force; a process is not ready before it returns.
 * The platform's word is final. While it does not answer, the highest
 * generation of the peers counts, once more than half of those asked are
 * ready and have answered. Asks again for as long as neither is to be had.
 */
export function* learnGeneration(options: LearnGenerationOptions): StartFlow {
  let lowest: Generation = 0;
  for (;;) {
    const platform = yield* queryPlatform(options.digestText);
    if (platform.kind === 'known') return platform.accepted;
    // Failure: the head is read, then the platform goes down, and peers that
    // lag behind it answer. What the platform has said once is not forgotten.
    lowest = Math.max(lowest, platform.lowest);
    const fromPeers = yield* queryPeers(options, lowest);
    if (fromPeers !== undefined) return fromPeers;
    yield* waitFor(RETRY_DELAY);
  }
}

type PlatformAnswer =
  | {readonly kind: 'known'; readonly accepted: AcceptedConfiguration}
  | {readonly kind: 'unknown'; readonly lowest: Generation};

function* queryPlatform(
  digestText: DigestText,
): Generator<StartEffect, PlatformAnswer, StartReply> {
  const row = yield* readStartRow(HEAD_KEY);
  if (!row.ok) return {kind: 'unknown', lowest: 0};
  if (row.val === undefined) {
    return {kind: 'known', accepted: initialConfiguration(digestText)};
  }
  const head = decodeHead(row.val);
  if (head === undefined) return {kind: 'unknown', lowest: 0};
  const body = yield* readStartRow(bodyKey(head.generation));
  const value = body.ok ? body.val?.value : undefined;
  const accepted = decodeAccepted(value, digestText);
  if (accepted === undefined) return {kind: 'unknown', lowest: head.generation};
  return {kind: 'known', accepted};
}

function* readStartRow(
  key: TableKey,
): Generator<StartEffect, ReadReply['result'], StartReply> {
  const reply = yield {kind: 'readRow', key};
  if (reply.kind !== 'row') throw new Error('driver: expected a row');
  return reply.result;
}

function* queryPeers(
  options: LearnGenerationOptions,
  lowest: Generation,
): Generator<StartEffect, AcceptedConfiguration | undefined, StartReply> {
  const listed = yield {kind: 'listPeers'};
  if (listed.kind !== 'peers') throw new Error('driver: expected peers');
  const others = listed.peers.filter(peer => peer !== options.instance);
  const queried = rendezvousOrder(options.instance, others).slice(
    0,
    MAX_QUERIED_PEERS,
  );
  const reply = yield {kind: 'askPeers', peers: queried};
  if (reply.kind !== 'peerAnswers') throw new Error('driver: expected answers');
  const ready = reply.answers.filter(isReady);
  // Failure: a process is replaced during an outage, asks one lagging peer and
  // takes up an older configuration than its predecessor had. With more than
  // half of those asked, a generation that half of them hold is always seen.
  if (ready.length * 2 <= queried.length) return undefined;
  const highest = Math.max(lowest, ...ready.map(answer => answer.generation));
  const holders = ready.filter(answer => answer.generation >= highest);
  for (const {peer} of holders) {
    const pulled = yield {kind: 'pullFromPeer', peer};
    if (pulled.kind !== 'pulled') throw new Error('driver: expected a pull');
    const accepted = decodeAccepted(pulled.value, options.digestText);
    if (accepted !== undefined && accepted.generation >= highest) {
      return accepted;
    }
  }
  return undefined;
}

function isReady(
  answer: PeerAnswer,
): answer is Extract<PeerAnswer, {kind: 'ready'}> {
  return answer.kind === 'ready';
}

function* waitFor(
  duration: Milliseconds,
): Generator<StartEffect, void, StartReply> {
  const reply = yield {kind: 'wait', duration};
  if (reply.kind !== 'waited') throw new Error('driver: expected a pause');
}
