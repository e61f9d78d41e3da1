import type {ListedTarget} from '@hibiscusbeam/core';
import type {ConfigurationCopy, RelayNews} from '@hibiscusbeam/wire';
import {readTarget} from '../link/relay_messages';
import type {MemberDescription} from '../ports';
import type {OperatorMoment} from './operator_follower';
import type {TargetListing} from './target_follower';

/** Who follows the tables. */
export interface RelayedTablesOptions {
  readonly hearOperator: (
    moment: OperatorMoment,
    configuration: ConfigurationCopy | undefined,
  ) => void;
  readonly hearTargets: (listing: TargetListing) => void;
}

/** Takes what a relay tells of the store's tables. */
export type TakeRelayedTables = (
  news: RelayNews,
  relay: MemberDescription,
) => void;

/** Creates the taker; it keeps the rows that a relay names by their edition. */
export function createRelayedTables(
  options: RelayedTablesOptions,
): TakeRelayedTables {
  let targets: readonly ListedTarget[] = [];
  let edition: string | undefined;

  return ({operator, configuration, targets: listing}, {life}) => {
    if (operator !== undefined) options.hearOperator(operator, configuration);
    if (listing === undefined) return;
    const {revision, storeTime, rows} = listing;
    const told = `${life} ${listing.edition}`;
    if (rows !== undefined) {
      targets = rows.targets.map(readTarget);
      edition = told;
    }
    if (edition === told) options.hearTargets({revision, storeTime, targets});
  };
}
