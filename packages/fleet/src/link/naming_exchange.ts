import type {
  Milliseconds,
  MonotonicInstant,
  NamedVersions,
  StoreClock,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import type {VersionNaming} from '@hibiscusbeam/wire';

/**
 * Exchanges with other processes since when versions are named.
 *
 * An entry that restarts would count a version's bound from the time at which
 * it first reads the name, and would send requests to engines with the older
 * version for seconds after the bound. So entries inform one another, and
 * agents inform entries in case all of those restart at the same time.
 */
export interface NamingExchange {
  readonly list: () => VersionNaming[];
  readonly merge: (namings: readonly VersionNaming[]) => void;
}

/**
 * Maximum plausible transit time of a message; a longer one means that the
 * store may have restarted its clock.
 */
const MAX_TRANSIT_TIME: Milliseconds = 10_000;

/**
 * Creates the exchange. Messages carry ages, since the clocks of machines
 * differ; the store's time shows how long a message was in transit.
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
