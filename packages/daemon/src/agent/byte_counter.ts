import type {VersionDigest, VersionProgress} from '@hibiscusbeam/core';
import type {Metrics} from '../metrics';

/** Counts the bytes received since the last call, by source. */
export function createByteCounter(
  metrics: Metrics,
): (progress: readonly VersionProgress[]) => void {
  const seen = new Map<VersionDigest, VersionProgress>();
  return progress => {
    for (const version of progress) {
      const before = seen.get(version.versionDigest);
      const origin = version.originBytes - (before?.originBytes ?? 0);
      const peers = version.neighbourBytes - (before?.neighbourBytes ?? 0);
      seen.set(version.versionDigest, version);
      if (origin > 0) {
        metrics.count('transfers.bytes', {source: 'origin'}, origin);
      }
      if (peers > 0) metrics.count('transfers.bytes', {source: 'peer'}, peers);
    }
    const wanted = new Set(progress.map(version => version.versionDigest));
    for (const versionDigest of seen.keys()) {
      if (!wanted.has(versionDigest)) seen.delete(versionDigest);
    }
  };
}
