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
import type {StartupSource} from '../runtime/startup_log';

/** Conflicts that are listed in one log line. */
const MAX_LOGGED_CONFLICTS = 10;

/** The configuration that an entry uses. */
export interface HeldConfiguration {
  /** Routes of the newest configuration; undefined until one was read. */
  readonly table: () => RouteTable | undefined;
  /**
   * Digest of the configured services; of an empty list before the first
   * configuration.
   */
  readonly servicesDigest: () => number;
  /**
   * Revision of the newest configuration; 0 if there is none or it is
   * unreadable.
   */
  readonly revision: () => Revision;
  /** Whether a newer configuration exists that can't be read. */
  readonly isNewestUnreadable: () => boolean;
  readonly takeReading: (reading: OperatorReading) => void;
  /** Adopts the copy that another entry has read, if it is newer. */
  readonly takeCopy: (copy: ConfigurationCopy) => void;
}

/** Dependencies of the held configuration. */
export interface HeldConfigurationOptions {
  readonly copies: ConfigurationCopies;
  readonly decode: OperatorFeed['decode'];
  readonly log: Log;
  /** Called when a newer configuration has been adopted. */
  readonly onAdopted: (source: StartupSource) => void;
}

/** Creates the holder; it only uses the newest configuration. */
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
    // A restored store may have lost the configuration in force; entries that
    // have started since must not use the older one.
    if (isOlder(configuration)) copies.addUnchanged(reading.revision);
    else if (document !== undefined) copies.add(document);
    adopt(configuration, 'store');
  }

  function takeCopy(copy: ConfigurationCopy): void {
    if (copy.revision <= copies.newestRevision()) return;
    const document = copies.read(copy);
    if (document.err) {
      // The copy announces a newer row than the one held here, so the row is
      // read from the store.
      log.warn('failed to read a copy of a configuration', {
        error: document.val,
      });
      return;
    }
    const configuration = options.decode(document.val);
    isNewestUnreadable = configuration.err;
    if (configuration.err) {
      log.warn('configuration is unusable', {error: configuration.val});
      return;
    }
    copies.add(document.val);
    adopt(configuration.val, 'entry');
  }

  function isOlder({version}: RoutingConfiguration): boolean {
    return version < (table?.version ?? -Infinity);
  }

  function adopt(
    configuration: RoutingConfiguration,
    source: StartupSource,
  ): void {
    // A delayed answer may contain an older configuration, and requests would
    // be handled by routes that were removed. Versions only increase here.
    if (configuration.version <= (table?.version ?? -Infinity)) return;
    table = createRouteTable(configuration);
    digest = servicesDigest(configuration.services);
    log.info('configuration in force', {
      version: configuration.version,
      routes: configuration.routes.length,
      workspaces: configuration.workspaces?.length,
    });
    warnOfConflicts(configuration);
    options.onAdopted(source);
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
