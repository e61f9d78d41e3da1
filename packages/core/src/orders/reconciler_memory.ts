import type {FencingSupport, MonotonicInstant, VersionDigest} from '../types';
import type {
  EngineOrder,
  EngineReport,
  ObservedReport,
  ReportedVersion,
} from './types';

/** What a reconciler remembers between passes. */
export interface ReconcilerMemory {
  /** The engine's life in the last report. */
  life: string | undefined;
  /** When the last load or unload of a version was answered. */
  readonly answeredAt: Map<string, MonotonicInstant>;
  /** Versions that get no new requests any more. */
  readonly closed: Set<VersionDigest>;
  routable: readonly ReportedVersion[];
  /** The engine's life in which it accepted our fencing number. */
  fencedEngineIncarnation: string | undefined;
  fencingSupport: FencingSupport | undefined;
  replaced: boolean;
}

/** Memory of a reconciler that has not seen its target yet. */
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

/** Notes an order as under way: no report shows its effect for certain. */
export function recordSent(memory: ReconcilerMemory, order: EngineOrder): void {
  const name = orderKey(order.kind, order.versionDigest);
  memory.answeredAt.set(name, Number.POSITIVE_INFINITY);
}

/** Notes when an order was answered. */
export function recordAnswered(
  memory: ReconcilerMemory,
  order: EngineOrder,
  now: MonotonicInstant,
): void {
  memory.answeredAt.set(orderKey(order.kind, order.versionDigest), now);
}

/** Whether a report is too old to show what an order came to. */
export function isEffectPending(
  memory: ReconcilerMemory,
  kind: EngineOrder['kind'],
  versionDigest: VersionDigest,
  takenAt: MonotonicInstant,
): boolean {
  const answeredAt = memory.answeredAt.get(orderKey(kind, versionDigest));
  return answeredAt !== undefined && takenAt <= answeredAt;
}

/** The versions that a report shows as loaded, less those ordered away since. */
export function loadedVersions(
  memory: ReconcilerMemory,
  observed: ObservedReport,
): readonly ReportedVersion[] {
  // Guards against a late report: it still shows a version that we unloaded
  // after its snapshot. Believed, the version that serves in its place would
  // be unloaded too, or requests would go to a version that is gone.
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
