import type {
  Milliseconds,
  MonotonicInstant,
  NamedVersions,
  StoreClock,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import type {VersionNaming} from '@hibiscusbeam/wire';

/**
 * Tells other processes since when versions are named.
 *
 * Failure: an entry that starts anew counts a version's bound from its own first
 * look, and sends requests to engines with the older one for seconds after it.
 * Guard: entries tell one another, and agents tell entries when all of those
 * start anew at the same time.
 */
export interface NamingExchange {
  readonly list: () => VersionNaming[];
  readonly merge: (namings: readonly VersionNaming[]) => void;
}

/** Longest time under way that is believed; the store may have restarted its clock. */
const MAX_TRANSIT_TIME: Milliseconds = 10_000;

/**
 * Creates the exchange. Ages are told, since clocks of machines differ; the store's
 * time shows how long a naming was under way.
 */
export function createNamingExchange(
  versions: NamedVersions,
  clock: Clock,
  log: Log,
  storeClock?: StoreClock,
): NamingExchange {
  function knownSince(naming: VersionNaming): MonotonicInstant {
    const byAge = clock() - naming.ageMilliseconds;
    if (naming.storeTime === undefined) return byAge;
    const byStore = storeClock?.localTimeLowerBound(naming.storeTime);
    if (byStore === undefined || byAge - byStore > MAX_TRANSIT_TIME) {
      return byAge;
    }
    return Math.min(byAge, byStore);
  }

  return {
    list: () =>
      versions.recent().map(({model, version, knownSince}) => ({
        model,
        version,
        ageMilliseconds: Math.max(0, Math.round(clock() - knownSince)),
        storeTime: storeClock?.storeTimeAt(knownSince),
      })),
    merge: namings => {
      for (const naming of namings) {
        const {model, version} = naming;
        const isNew = versions.name(model, version, knownSince(naming));
        if (isNew) log.info('version named', {model, version});
      }
    },
  };
}
