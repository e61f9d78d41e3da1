import type {Generation, InstanceName, Milliseconds} from '@hibiscusbeam/core';
import type {ListedInstance} from '@hibiscusbeam/platform';
import type {
  PullConfigurationReply,
  ReportActivityReply,
} from '@hibiscusbeam/wire';
import {GENERATION_ONLY} from '../configuration/configuration_driver';
import type {SiteClientPool} from './site_clients';

/** A peer that does not answer within this time counts as silent. */
const REPLY_TIMEOUT: Milliseconds = 1_000;

/** The generation of one process; undefined if it did not answer. */
export interface ReportedGeneration {
  readonly instance: InstanceName;
  readonly generation: Generation | undefined;
}

/** Short calls to other processes; undefined if one does not answer. */
export interface PeerCalls {
  readonly pull: (
    peer: InstanceName,
    knownGeneration: Generation,
  ) => Promise<PullConfigurationReply | undefined>;
  readonly requestActivity: (
    address: string,
  ) => Promise<ReportActivityReply | undefined>;
  readonly requestGenerations: (
    lines: readonly ListedInstance[],
  ) => Promise<readonly ReportedGeneration[]>;
}

/** Creates the calls; `addressOf` returns where an instance listens. */
export function createPeerCalls(
  clients: SiteClientPool,
  addressOf: (instance: InstanceName) => string | undefined,
): PeerCalls {
  // gRPC takes a deadline in wall-clock time.
  const options = () => ({deadline: Date.now() + REPLY_TIMEOUT});

  const pull: PeerCalls['pull'] = (peer, known) => {
    const address = addressOf(peer);
    if (address === undefined) return Promise.resolve(undefined);
    const knownGeneration = Math.max(0, known);
    return new Promise(resolve => {
      clients
        .at(address)
        .peer.pullConfiguration(
          {knownGeneration},
          clients.metadata,
          options(),
          (error, reply) => resolve(error === null ? reply : undefined),
        );
    });
  };

  const requestActivity: PeerCalls['requestActivity'] = address =>
    new Promise(resolve => {
      clients
        .at(address)
        .peer.reportActivity({}, clients.metadata, options(), (error, reply) =>
          resolve(error === null ? reply : undefined),
        );
    });

  const requestGeneration = async ({
    instance,
  }: ListedInstance): Promise<ReportedGeneration> => {
    const reply = await pull(instance, GENERATION_ONLY);
    return {instance, generation: reply?.generation};
  };

  return {
    pull,
    requestActivity,
    requestGenerations: lines => Promise.all(lines.map(requestGeneration)),
  };
}
