import type {
  Milliseconds,
  MonotonicInstant,
  ZoneDemand,
} from '@hibiscusbeam/core';
import type {
  ConfigurationCopy,
  EngineReport,
  EntryState,
  RelayNews,
  VersionNaming,
} from '@hibiscusbeam/wire';
import {readZoneDemands} from '../link/demand_messages';
import {createReportReader} from '../link/report_batches';
import {createStateReader} from '../link/state_batches';
import {createTargetReader} from '../link/target_changes';
import type {SiteRecordsMessage} from '../link/site_records';
import type {OperatorMoment} from './operator_follower';
import type {TargetListing} from './target_follower';

/** A reading of the operator's table that a relay forwards. */
export interface RelayedMoment extends OperatorMoment {
  /**
   * Round trip time from the relay to the store; undefined unless the relay
   * reads the table itself.
   */
  readonly storeDistance?: Milliseconds;
}

/** A decoded update of a relay, with batches and differences resolved. */
export interface RelayUpdate {
  readonly entries: readonly EntryState[];
  readonly reports: readonly EngineReport[];
  readonly namings: readonly VersionNaming[];
  readonly operator: RelayedMoment | undefined;
  readonly configuration: ConfigurationCopy | undefined;
  readonly targets: TargetListing | undefined;
  readonly records: SiteRecordsMessage;
  /** Demand of callers, by zone. */
  readonly demands: readonly ZoneDemand[];
}

/**
 * Creates a decoder for the updates of one stream. It is stateful: updates
 * refer to rows that were sent before.
 */
export function createUpdateReader(): (
  update: RelayNews,
  now: MonotonicInstant,
) => RelayUpdate {
  const readStates = createStateReader();
  const readReports = createReportReader();
  const readTargets = createTargetReader();

  function readListing(
    listing: NonNullable<RelayNews['targets']>,
  ): TargetListing {
    const {revision, era, storeTime} = listing;
    return {revision, era, storeTime, targets: readTargets(listing)};
  }

  return (update, now) => ({
    entries: update.entries ? readStates(update.entries) : [],
    reports: update.reports ? readReports(update.reports, now) : [],
    namings: update.namings,
    operator: update.operator,
    configuration: update.configuration,
    targets: update.targets && readListing(update.targets),
    records: update,
    demands: readZoneDemands(update.demands, now),
  });
}
