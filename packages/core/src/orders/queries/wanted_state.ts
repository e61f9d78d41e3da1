import type {
  ModelName,
  SiteConfiguration,
  TargetName,
  VersionDigest,
} from '../../types';
import type {WantedState} from '../types';

/** What the configuration wants one target to do. */
export function wantedState(
  configuration: SiteConfiguration,
  target: TargetName,
): WantedState {
  const described = configuration.targets[target];
  // During a move only one system may give orders. Otherwise the target would
  // flip between the versions of both.
  if (described === undefined || described.owner !== 'hibiscusbeam') {
    return {kind: 'notOurs'};
  }
  if (described.state === 'leaving') return {kind: 'leaving'};
  const versions = new Map<ModelName, VersionDigest>();
  const servedElsewhere = new Set<ModelName>();
  for (const [model, wanted] of Object.entries(configuration.models)) {
    if (wanted.targets.includes(target)) {
      versions.set(model, wanted.versionDigest);
    } else if (wanted.targets.length > 0) {
      servedElsewhere.add(model);
    }
  }
  const {fencing} = described;
  return {kind: 'serve', fencing, versions, servedElsewhere};
}
