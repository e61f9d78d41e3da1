import type {Milliseconds} from '@hibiscusbeam/core';
import type {InstanceList, ListedInstance} from '@hibiscusbeam/platform';
import {sleep} from '../runtime/clock';
import {isUsableAddress} from './usable_peers';

/** Min time between two reads of the list by one process. */
const MIN_POLL_PERIOD: Milliseconds = 1_000;

/** Budget of reads per second for all processes of the site together. */
const SHARED_READS_PER_SECOND = 100;

/** Polls the platform's list of instances. */
export interface InstanceListPoller {
  /** The list as last read; empty before the first answer. */
  readonly latest: () => readonly ListedInstance[];
  /** Reads the list now; resolves to the last known one on failure. */
  readonly refresh: () => Promise<readonly ListedInstance[]>;
  readonly stop: () => void;
}

/** Starts polling; `onList` gets each list that was read. */
export function startInstanceListPoller(
  instances: InstanceList,
  onList: (lines: readonly ListedInstance[]) => void,
): InstanceListPoller {
  const stopping = new AbortController();
  let latest: readonly ListedInstance[] = [];

  const refresh = async (): Promise<readonly ListedInstance[]> => {
    const listed = await instances.list();
    // While the platform is unavailable the last list stays valid. Sessions
    // show which processes are live, and an empty list would disconnect the
    // site's processes from each other.
    if (listed.ok && !stopping.signal.aborted) {
      // Connecting to an unusable address would end this process.
      latest = listed.val.filter(line => isUsableAddress(line.address));
      onList(latest);
    }
    return latest;
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await refresh();
      const shared = (latest.length / SHARED_READS_PER_SECOND) * 1_000;
      await sleep(Math.max(MIN_POLL_PERIOD, shared), stopping.signal);
    }
  };
  void run();

  return {
    latest: () => latest,
    refresh,
    stop: () => stopping.abort(),
  };
}
