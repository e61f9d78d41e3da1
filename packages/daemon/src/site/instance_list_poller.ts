import type {Milliseconds} from '@hibiscusbeam/core';
import type {InstanceList, ListedInstance} from '@hibiscusbeam/platform';
import {sleep} from '../runtime/clock';
import {isUsableAddress} from './usable_peers';

/** Shortest time between two reads of the list by one process. */
const MIN_POLL_PERIOD: Milliseconds = 1_000;

/** Reads of the list that all processes of the site share, per second. */
const SHARED_READS_PER_SECOND = 100;

/** Reads the platform's list again and again. */
export interface InstanceListPoller {
  /** The list as last read; empty before the first answer. */
  readonly latest: () => readonly ListedInstance[];
  /** Reads the list now; the last known one if the platform is silent. */
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
    // While the platform is down the last list stands: sessions tell who
    // lives, and forgetting everybody would cut the site off from itself.
    if (listed.ok && !stopping.signal.aborted) {
      // A line without a usable address would end whoever connects to it.
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
