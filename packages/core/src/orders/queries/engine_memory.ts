import type {Bytes, Manifest, VersionDigest} from '../../types';
import type {Pass} from '../pass';
import {isEffectPending} from '../reconciler_memory';

/** Size of a version's weights. */
export function sizeOf(manifest: Manifest): Bytes {
  return manifest.chunks.reduce((sum, chunk) => sum + chunk.size, 0);
}

/**
 * Whether a version fits alongside everything that the engine has or is ordered
 * to load. A version unknown here counts as filling the engine's memory.
 */
export function fitsAlongside(
  pass: Pass,
  wanted: VersionDigest,
  manifest: Manifest,
): boolean {
  const {verified} = pass.input;
  const present = presentVersions(pass).filter(digest => digest !== wanted);
  const {engineMemory} = pass.settings;
  if (engineMemory === undefined) {
    return !present.some(digest => mayBelongTo(pass, digest, manifest.model));
  }
  let used = sizeOf(manifest);
  for (const versionDigest of present) {
    const other = verified.get(versionDigest);
    if (other === undefined) return false;
    used += sizeOf(other);
  }
  return used <= engineMemory;
}

function presentVersions(pass: Pass): readonly VersionDigest[] {
  const {report, takenAt} = pass.observed;
  const ordered = [...pass.input.verified.keys()].filter(digest =>
    isEffectPending(pass.memory, 'load', digest, takenAt),
  );
  const planned = pass.orders
    .filter(order => order.kind === 'load')
    .map(order => order.versionDigest);
  const loaded = report.loaded.map(version => version.versionDigest);
  return [...new Set([...loaded, ...report.loading, ...ordered, ...planned])];
}

function mayBelongTo(
  pass: Pass,
  digest: VersionDigest,
  model: string,
): boolean {
  const known =
    pass.input.verified.get(digest)?.model ??
    pass.observed.report.loaded.find(
      version => version.versionDigest === digest,
    )?.model;
  return known === undefined || known === model;
}
