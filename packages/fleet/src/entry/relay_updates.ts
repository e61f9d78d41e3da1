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

/** A reading of the operator's table that a relay passes on. */
export interface RelayedMoment extends OperatorMoment {
  /** The relay's distance from the store; undefined unless it reads itself. */
  readonly storeDistance?: Milliseconds;
}

/** What a relay has told, whole. */
export interface RelayUpdate {
  readonly entries: readonly EntryState[];
  readonly reports: readonly EngineReport[];
  readonly namings: readonly VersionNaming[];
  readonly operator: RelayedMoment | undefined;
  readonly configuration: ConfigurationCopy | undefined;
  readonly targets: TargetListing | undefined;
  readonly records: SiteRecordsMessage;
  /** What callers ask for, by zone. */
  readonly demands: readonly ZoneDemand[];
}

/** Creates the reader of one stream of news. */
export function createUpdateReader(): (
  news: RelayNews,
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

  return (news, now) => ({
    entries: news.entries ? readStates(news.entries) : [],
    reports: news.reports ? readReports(news.reports, now) : [],
    namings: news.namings,
    operator: news.operator,
    configuration: news.configuration,
    targets: news.targets && readListing(news.targets),
    records: news,
    demands: readZoneDemands(news.demands, now),
  });
}
