import type {
  ModelName,
  SiteConfiguration,
  TargetName,
  VersionDigest,
} from '../../types';
import type {WantedState} from '../types';

/** What the configuration wants of one target. */
export function wantedState(
  configuration: SiteConfiguration,
  target: TargetName,
): WantedState {
  const described = configuration.targets[target];
  // Guards against two order givers during a move: shows as a target that
  // flips between the versions of two systems.
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
