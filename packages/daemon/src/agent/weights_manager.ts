import {
  checkManifest,
  type Manifest,
  type ModelConfiguration,
  type SiteConfiguration,
  type TargetName,
  type VersionDigest,
} from '@hibiscusbeam/core';
import type {WeightStore} from '@hibiscusbeam/platform';
import type {Log} from '../logs';
import {digestText} from '../runtime/digests';
import type {SwarmDriver} from '../swarm';

/** Fetches the versions that the configuration wants on a target. */
export interface WeightsManager {
  /** Starts newly wanted versions and abandons those no longer wanted. */
  readonly follow: (configuration: SiteConfiguration) => void;
  /** Versions of which the target holds every chunk, verified. */
  readonly verified: () => ReadonlyMap<VersionDigest, Manifest>;
  readonly manifestOf: (versionDigest: VersionDigest) => Manifest | undefined;
}

/** Pause before a manifest is requested again. */
const MANIFEST_RETRY_PAUSE_MS = 1_000;

/** Creates the manager of one model engine's versions. */
export function createWeightsManager(options: {
  readonly target: TargetName;
  readonly weights: WeightStore;
  readonly swarm: SwarmDriver;
  readonly log: Log;
}): WeightsManager {
  const {target, weights, swarm, log} = options;
  const wanted = new Map<VersionDigest, ModelConfiguration>();
  const manifests = new Map<VersionDigest, Manifest>();
  const fetching = new Set<VersionDigest>();

  const follow = (configuration: SiteConfiguration): void => {
    const next = wantedVersions(configuration, target);
    for (const versionDigest of [...wanted.keys()]) {
      if (next.has(versionDigest)) continue;
      wanted.delete(versionDigest);
      manifests.delete(versionDigest);
      swarm.abandon(versionDigest);
      log.info(`abandons version ${versionDigest}`);
    }
    for (const [versionDigest, model] of next) {
      wanted.set(versionDigest, model);
      want(versionDigest);
    }
  };

  const want = (versionDigest: VersionDigest): void => {
    const model = wanted.get(versionDigest);
    if (model === undefined) return;
    const manifest = manifests.get(versionDigest);
    if (manifest === undefined) return void fetchManifest(versionDigest);
    const {prefer, targets} = model;
    swarm.want(versionDigest, manifest, {prefer, holders: targets});
  };

  const fetchManifest = async (versionDigest: VersionDigest): Promise<void> => {
    if (fetching.has(versionDigest)) return;
    fetching.add(versionDigest);
    const fetched = await weights.manifest(versionDigest);
    fetching.delete(versionDigest);
    if (!wanted.has(versionDigest)) return;
    const checked = fetched.ok
      ? checkManifest(versionDigest, fetched.val, digestText)
      : fetched;
    if (checked.err) {
      log.warn(`cannot get the manifest of ${versionDigest}`, {
        reason: checked.val,
      });
      setTimeout(() => want(versionDigest), MANIFEST_RETRY_PAUSE_MS);
      return;
    }
    manifests.set(versionDigest, checked.val.manifest);
    log.info(`fetches version ${versionDigest}`);
    want(versionDigest);
  };

  const verified = (): ReadonlyMap<VersionDigest, Manifest> => {
    const result = new Map<VersionDigest, Manifest>();
    for (const {versionDigest, ready} of swarm.progress()) {
      const manifest = manifests.get(versionDigest);
      if (ready && manifest !== undefined) result.set(versionDigest, manifest);
    }
    return result;
  };

  return {
    follow,
    verified,
    manifestOf: versionDigest => manifests.get(versionDigest),
  };
}

function wantedVersions(
  configuration: SiteConfiguration,
  target: TargetName,
): ReadonlyMap<VersionDigest, ModelConfiguration> {
  const described = configuration.targets[target];
  const isTargetOwned =
    described?.owner === 'hibiscusbeam' && described.state === 'joined';
  const versions = new Map<VersionDigest, ModelConfiguration>();
  if (!isTargetOwned) return versions;
  for (const model of Object.values(configuration.models)) {
    if (model.targets.includes(target)) {
      versions.set(model.versionDigest, model);
    }
  }
  return versions;
}
