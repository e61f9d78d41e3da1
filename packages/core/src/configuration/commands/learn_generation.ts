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

/**
 * Maximum number of peers that a starting process queries, which bounds the
 * load of a restart.
 */
const MAX_QUERIED_PEERS = 64;

/** Pause before the platform and the peers are queried again. */
const RETRY_DELAY: Milliseconds = 500;

/** Options of {@link learnGeneration}. */
export interface LearnGenerationOptions {
  readonly instance: InstanceName;
  readonly digestText: DigestText;
}

/**
 * Determines the generation in force. A process is not ready before this
 * returns.
 *
 * The platform's answer is authoritative. While the platform does not answer,
 * the highest generation of the peers is used, once more than half of the
 * queried peers are ready and have answered. Retries until either source
 * answers.
 */
export function* learnGeneration(options: LearnGenerationOptions): StartFlow {
  let lowest: Generation = 0;
  for (;;) {
    const platform = yield* queryPlatform(options.digestText);
    if (platform.kind === 'known') return platform.accepted;
    // Keeps the head's generation as a minimum. The platform may go down after
    // the head was read, and peers that lag behind it may answer.
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
  // Requires answers from more than half of the queried peers, so that a
  // generation held by half of them is always seen. Otherwise a process that is
  // replaced during an outage could query one lagging peer and adopt an older
  // configuration than its predecessor had.
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
