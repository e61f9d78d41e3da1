import type {
  AcceptedConfiguration,
  DigestText,
  SiteConfiguration,
} from '../../types';
import {digestConfiguration} from './configuration_digest';

/** Plan id of generation 0, which has no operator's plan. */
export const INITIAL_PLAN_ID = 'initial';

const EMPTY_CONFIGURATION: SiteConfiguration = {
  targets: {},
  models: {},
  services: {},
  workspaces: {},
  olderSystemSwitchedOff: false,
};

/** Generation 0: the configuration of a site whose table has no head row. */
export function initialConfiguration(
  digestText: DigestText,
): AcceptedConfiguration {
  return {
    generation: 0,
    planId: INITIAL_PLAN_ID,
    digest: digestConfiguration(
      digestText,
      INITIAL_PLAN_ID,
      EMPTY_CONFIGURATION,
    ),
    configuration: EMPTY_CONFIGURATION,
  };
}
