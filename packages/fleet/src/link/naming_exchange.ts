import type {NamedVersions} from '@hibiscusbeam/core';
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
  readonly tell: () => VersionNaming[];
  readonly take: (namings: readonly VersionNaming[]) => void;
}

/** Creates the exchange; ages are told, since clocks of machines differ. */
export function createNamingExchange(
  versions: NamedVersions,
  clock: Clock,
  log: Log,
): NamingExchange {
  return {
    tell: () =>
      versions.recent().map(({model, version, knownSince}) => ({
        model,
        version,
        ageMilliseconds: Math.max(0, Math.round(clock() - knownSince)),
      })),
    take: namings => {
      for (const {model, version, ageMilliseconds} of namings) {
        const knownSince = clock() - ageMilliseconds;
        const isNew = versions.name(model, version, knownSince);
        if (isNew) log.info('version named', {model, version});
      }
    },
  };
}
