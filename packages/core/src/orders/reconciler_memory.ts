import type {FencingSupport, MonotonicInstant, VersionDigest} from '../types';
import type {
  EngineOrder,
  EngineReport,
  ObservedReport,
  ReportedVersion,
} from './types';

/** What a reconciler remembers between passes. */
export interface ReconcilerMemory {
  /** The engine's incarnation in the last report. */
  life: string | undefined;
  /** When the last load or unload of a version was answered. */
  readonly answeredAt: Map<string, MonotonicInstant>;
  /** Versions that get no new requests. */
  readonly closed: Set<VersionDigest>;
  routable: readonly ReportedVersion[];
  /** The engine's incarnation that accepted our fencing number. */
  fencedEngineIncarnation: string | undefined;
  fencingSupport: FencingSupport | undefined;
  replaced: boolean;
}

/** Creates the memory of a reconciler that has not seen its target yet. */
export function createReconcilerMemory(): ReconcilerMemory {
  return {
    life: undefined,
    answeredAt: new Map(),
    closed: new Set(),
    routable: [],
    fencedEngineIncarnation: undefined,
    fencingSupport: undefined,
    replaced: false,
  };
}

/** Forgets closed versions that the engine no longer has. */
export function forgetUnloadedVersions(
  memory: ReconcilerMemory,
  report: EngineReport,
): void {
  const loaded = new Set(report.loaded.map(version => version.versionDigest));
  for (const versionDigest of memory.closed) {
    if (!loaded.has(versionDigest)) memory.closed.delete(versionDigest);
  }
}

/** Records an order as in flight: no report is certain to show its effect. */
export function recordSent(memory: ReconcilerMemory, order: EngineOrder): void {
  const key = orderKey(order.kind, order.versionDigest);
  memory.answeredAt.set(key, Number.POSITIVE_INFINITY);
}

/** Records when an order was answered. */
export function recordAnswered(
  memory: ReconcilerMemory,
  order: EngineOrder,
  now: MonotonicInstant,
): void {
  memory.answeredAt.set(orderKey(order.kind, order.versionDigest), now);
}

/** Whether a report is too old to show the effect of an order. */
export function isEffectPending(
  memory: ReconcilerMemory,
  kind: EngineOrder['kind'],
  versionDigest: VersionDigest,
  takenAt: MonotonicInstant,
): boolean {
  const answeredAt = memory.answeredAt.get(orderKey(kind, versionDigest));
  return answeredAt !== undefined && takenAt <= answeredAt;
}

/** The versions that a report shows as loaded, without those unloaded since. */
export function loadedVersions(
  memory: ReconcilerMemory,
  observed: ObservedReport,
): readonly ReportedVersion[] {
  // A late report still shows a version that was unloaded after its snapshot.
  // If it were trusted, the version that serves in its place would be unloaded
  // too, or requests would go to a version that is gone.
  return observed.report.loaded.filter(
    ({versionDigest}) =>
      !isEffectPending(memory, 'unload', versionDigest, observed.takenAt),
  );
}

function orderKey(
  kind: EngineOrder['kind'],
  versionDigest: VersionDigest,
): string {
  return `${kind} ${versionDigest}`;
}
