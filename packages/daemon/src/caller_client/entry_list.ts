import type {Milliseconds, ZoneName} from '@hibiscusbeam/core';
import * as z from 'zod';
import type {EntryExchange} from './exchange';

/** Selects the entry for a caller from the list that the entries provide. */
export interface EntryList {
  /**
   * Address of the entry to use; the same one until it fails or the list
   * changes. Throws if no entry is known.
   */
  readonly current: () => Promise<string>;
  /** Moves `entry` to the end of the list, so that another one is used. */
  readonly markFailed: (entry: string) => void;
}

/** Options of {@link createEntryList}. */
export interface EntryListOptions {
  readonly exchange: EntryExchange;
  /** Addresses (`IP:port`) of the entries to query first. */
  readonly entries: readonly string[];
  readonly zone: ZoneName | undefined;
  readonly now: () => Milliseconds;
  readonly random: () => number;
}

const ENTRIES_REPLY = z.object({
  entries: z
    .array(z.object({address: z.string().min(1), zone: z.string()}))
    .min(1),
  keepForMilliseconds: z.number().nonnegative(),
});

/** Timeout of a request for the list; the next entry is tried after it. */
const REFRESH_TIMEOUT: Milliseconds = 2_000;

/** How long the old list stays in use after no entry has answered. */
const REFRESH_RETRY_DELAY: Milliseconds = 1_000;

/** Creates a list that is refreshed from the entries when it expires. */
export function createEntryList(options: EntryListOptions): EntryList {
  const {exchange, now, random} = options;
  let order = shuffle(options.entries, random);
  let validUntil = -Infinity;
  let pendingRefresh: Promise<void> | undefined;

  async function refresh(): Promise<void> {
    for (const entry of order) {
      const reply = await fetchEntries(exchange, entry);
      if (reply === undefined) continue;
      order = sortEntries(reply.entries, order[0]);
      validUntil = now() + reply.keepForMilliseconds;
      return;
    }
    // No entry answers. The old addresses stay in use, as a stopping entry
    // serves requests for as long as callers may have its address.
    validUntil = now() + REFRESH_RETRY_DELAY;
  }

  /**
   * Puts the entries of the caller's own zone first, each zone group in random
   * order. The entry in use stays first if its group comes first.
   */
  function sortEntries(
    entries: z.infer<typeof ENTRIES_REPLY>['entries'],
    inUse: string | undefined,
  ): readonly string[] {
    const isNear = (zone: string) => zone === options.zone;
    const near = entries.filter(({zone}) => isNear(zone));
    const far = entries.filter(({zone}) => !isNear(zone));
    const first = near.length > 0 ? near : far;
    const kept = first.filter(({address}) => address === inUse);
    const arranged = [kept, shuffle(near, random), shuffle(far, random)]
      .flat()
      .map(({address}) => address);
    return [...new Set(arranged)];
  }

  return {
    async current() {
      if (now() >= validUntil) {
        pendingRefresh ??= refresh().finally(
          () => (pendingRefresh = undefined),
        );
        await pendingRefresh;
      }
      const [entry] = order;
      if (entry === undefined) throw new Error('no entry is known');
      return entry;
    },
    markFailed(entry) {
      order = [...order.filter(other => other !== entry), entry];
    },
  };
}

async function fetchEntries(
  exchange: EntryExchange,
  entry: string,
): Promise<z.infer<typeof ENTRIES_REPLY> | undefined> {
  const response = await exchange.send({
    entry,
    method: 'GET',
    path: '/v1/entries',
    timeout: REFRESH_TIMEOUT,
  });
  if (response.kind !== 'response') return undefined;
  const body = await response.json().catch(() => undefined);
  if (response.status !== 200) return undefined;
  return ENTRIES_REPLY.safeParse(body).data;
}

function shuffle<Item>(
  items: readonly Item[],
  random: () => number,
): readonly Item[] {
  return items
    .map(item => ({item, sortKey: random()}))
    .sort((left, right) => left.sortKey - right.sortKey)
    .map(({item}) => item);
}
