import {createSiteClientPool} from '@hibiscusbeam/daemon';
import type {
  PullConfigurationReply,
  ReportActivityReply,
} from '@hibiscusbeam/wire';
import {DEMO_KEYS} from './settings_files';

/** A process that sends no reply within this time counts as silent. */
const REPLY_TIMEOUT_MS = 2_000;

const pool = createSiteClientPool(DEMO_KEYS.site);

/** Requests the activity report of a process, as a peer would. */
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

/** Requests the generation of a process; undefined if it is silent. */
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
          // A new channel connects at once; the old one backs off for up to
          // 2 s, which would be counted as a delay of the replaced process.
          if (error !== null) pool.drop(address);
          resolve(error === null ? reply : undefined);
        },
      );
  });
}

/** Closes all channels. */
export function closeSitePeers(): void {
  pool.close();
}
