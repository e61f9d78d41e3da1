import {createSiteClientPool} from '@hibiscusbeam/daemon';
import type {
  PullConfigurationReply,
  ReportActivityReply,
} from '@hibiscusbeam/wire';
import {DEMO_KEYS} from './settings_files';

/** A process that does not answer within this time counts as silent. */
const REPLY_TIMEOUT_MS = 2_000;

const pool = createSiteClientPool(DEMO_KEYS.site);

/** What a process may still act on, asked as another process would. */
export function requestActivity(address: string): Promise<ReportActivityReply> {
  return new Promise((resolve, reject) => {
    const deadline = Date.now() + REPLY_TIMEOUT_MS;
    pool
      .at(address)
      .peer.reportActivity({}, pool.metadata, {deadline}, (error, reply) =>
        error === null ? resolve(reply) : reject(error),
      );
  });
}

/** A process's generation without its configuration; undefined if silent. */
export function requestGeneration(
  address: string,
): Promise<PullConfigurationReply | undefined> {
  const knownGeneration = Number.MAX_SAFE_INTEGER;
  return new Promise(resolve => {
    const deadline = Date.now() + REPLY_TIMEOUT_MS;
    pool
      .at(address)
      .peer.pullConfiguration(
        {knownGeneration},
        pool.metadata,
        {deadline},
        (error, reply) => {
          // A new channel: the old one waits up to 2 s before it calls a
          // process that was replaced, and that would count as its delay.
          if (error !== null) pool.drop(address);
          resolve(error === null ? reply : undefined);
        },
      );
  });
}

/** Closes the channels. */
export function closeSitePeers(): void {
  pool.close();
}
