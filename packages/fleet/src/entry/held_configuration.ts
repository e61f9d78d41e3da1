import {
  createRouteTable,
  findResidencyConflicts,
  type RouteTable,
  type RoutingConfiguration,
} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
import type {ConfigurationCopy} from '@hibiscusbeam/wire';
import type {ConfigurationCopies} from '../link/configuration_copies';
import {servicesDigest} from '../link/services_digest';
import type {OperatorFeed, OperatorReading, Revision} from '../ports';

/** Conflicts named in one line of the log. */
const MAX_LOGGED_CONFLICTS = 10;

/** The configuration that an entry goes by. */
export interface HeldConfiguration {
  /** The newest configuration; undefined until one was read. */
  readonly table: () => RouteTable | undefined;
  /** Digest of the configured services; of none before the first. */
  readonly servicesDigest: () => number;
  /** Revision of the newest one; 0 if there is none, or it can't be read. */
  readonly revision: () => Revision;
  /** Whether a newer one was written that can't be read. */
  readonly isNewestUnreadable: () => boolean;
  readonly takeReading: (reading: OperatorReading) => void;
  /** Takes what another entry has read, if it is newer. */
  readonly takeCopy: (copy: ConfigurationCopy) => void;
}

/** What holding a configuration needs. */
export interface HeldConfigurationOptions {
  readonly copies: ConfigurationCopies;
  readonly decode: OperatorFeed['decode'];
  readonly log: Log;
  /** Told when a newer one is held. */
  readonly onAdopted: () => void;
}

/** Creates the holder; it goes by the newest configuration only. */
export function createHeldConfiguration(
  options: HeldConfigurationOptions,
): HeldConfiguration {
  const {copies, log} = options;
  let table: RouteTable | undefined;
  let digest = servicesDigest([]);
  let isNewestUnreadable = false;

  function takeReading(reading: OperatorReading): void {
    const {configuration, document, isConfigurationLost} = reading;
    if (isConfigurationLost) isNewestUnreadable = true;
    if (configuration === undefined) return;
    if (!isConfigurationLost) isNewestUnreadable = false;
    // A store that was restored may have lost the one in force; entries that
    // have started since must not go by the older one.
    if (isOlder(configuration)) copies.addUnchanged(reading.revision);
    else if (document !== undefined) copies.add(document);
    adopt(configuration);
  }

  function takeCopy(copy: ConfigurationCopy): void {
    if (copy.revision <= copies.newestRevision()) return;
    const document = copies.read(copy);
    if (document.err) {
      // The table's newest row is known to be newer than what is held here, so
      // it is read from the store.
      log.warn('copy of a configuration not read', {error: document.val});
      return;
    }
    const configuration = options.decode(document.val);
    isNewestUnreadable = configuration.err;
    if (configuration.err) {
      log.warn('configuration not usable', {error: configuration.val});
      return;
    }
    copies.add(document.val);
    adopt(configuration.val);
  }

  function isOlder({version}: RoutingConfiguration): boolean {
    return version < (table?.version ?? -Infinity);
  }

  function adopt(configuration: RoutingConfiguration): void {
    // Failure: an answer that was held up brings an older configuration, and a
    // request is handled by a route that was dropped. Versions only grow here.
    if (configuration.version <= (table?.version ?? -Infinity)) return;
    table = createRouteTable(configuration);
    digest = servicesDigest(configuration.services);
    log.info('configuration in force', {
      version: configuration.version,
      routes: configuration.routes.length,
      workspaces: configuration.workspaces?.length,
    });
    warnOfConflicts(configuration);
    options.onAdopted();
  }

  function warnOfConflicts(configuration: RoutingConfiguration): void {
    const conflicts = findResidencyConflicts(configuration);
    if (conflicts.length === 0) return;
    log.warn('no region is allowed for requests of some workspaces', {
      version: configuration.version,
      conflicts: conflicts.slice(0, MAX_LOGGED_CONFLICTS),
    });
  }

  return {
    table: () => table,
    servicesDigest: () => digest,
    revision: () => (isNewestUnreadable ? 0 : copies.newestRevision()),
    isNewestUnreadable: () => isNewestUnreadable,
    takeReading,
    takeCopy,
  };
}
