import type {Manifest, VersionDigest} from '../../types';
import type {Pass} from '../pass';
import {fitsAlongside} from '../queries/engine_memory';
import {isEffectPending} from '../reconciler_memory';

/** Adds the loads that the engine has room for. */
export function planLoads(pass: Pass): void {
  for (const versionDigest of pass.wanted.versions.values()) {
    // An order names only a version whose every chunk is verified on the
    // engine, so that no partial weights are loaded. The engine checks again.
    const manifest = pass.input.verified.get(versionDigest);
    if (manifest === undefined) continue;
    if (isLoadedOrLoading(pass, versionDigest)) continue;
    if (!fitsAlongside(pass, versionDigest, manifest)) {
      pass.withoutRoom.push(versionDigest);
      continue;
    }
    pass.orders.push({kind: 'load', versionDigest, manifest});
  }
  announceFencing(pass);
}

function isLoadedOrLoading(pass: Pass, versionDigest: VersionDigest): boolean {
  const {report, takenAt} = pass.observed;
  if (report.loading.includes(versionDigest)) return true;
  if (pass.loaded.some(version => version.versionDigest === versionDigest)) {
    return true;
  }
  return isEffectPending(pass.memory, 'load', versionDigest, takenAt);
}

/**
 * Sends our fencing number to a target that checks it, by an order that changes
 * nothing, once in each incarnation of the engine.
 */
function announceFencing(pass: Pass): void {
  const {memory, observed, wanted, input} = pass;
  if (wanted.fencing !== 'checked') return;
  if (memory.fencedEngineIncarnation === observed.report.life) return;
  if (pass.orders.length > 0) return;
  const loaded = pass.loaded.find(
    version =>
      input.verified.has(version.versionDigest) &&
      wanted.versions.get(version.model) === version.versionDigest,
  );
  if (loaded === undefined) return;
  const {versionDigest} = loaded;
  const {takenAt} = observed;
  if (isEffectPending(memory, 'load', versionDigest, takenAt)) return;
  const manifest = input.verified.get(versionDigest) as Manifest;
  pass.orders.push({kind: 'load', versionDigest, manifest});
}
