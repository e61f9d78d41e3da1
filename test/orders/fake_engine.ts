import type {
  EngineOrder,
  FencingSupport,
  Incarnation,
  Manifest,
  ModelName,
  ObservedReport,
  OrderOutcome,
  ReportedVersion,
  VersionDigest,
} from '@hibiscusbeam/core';

/** Size of each version in these tests. */
export const VERSION_SIZE = 10;

/** A manifest of one chunk. */
export function manifestOf(model: ModelName, label: string): Manifest {
  const chunks = [{digest: `sha256:${model}-${label}`, size: VERSION_SIZE}];
  return {model, label, chunks};
}

/** A state that a target must never reach. */
export type Violation = 'cutRequest' | 'partialVersion' | 'emptied';

/** An in-memory engine; late reports are taken from its snapshots. */
export interface FakeEngine {
  readonly order: (order: EngineOrder, fencing: Incarnation) => OrderOutcome;
  readonly loaded: () => readonly ReportedVersion[];
  /** Completes every load in progress. */
  readonly finishLoads: () => void;
  readonly restart: () => void;
  readonly begin: (versionDigest: VersionDigest) => boolean;
  readonly finish: () => void;
  readonly running: () => ReadonlyMap<VersionDigest, number>;
  /** Takes the snapshot that a report of `now` shows. */
  readonly snapshot: (now: number) => void;
  /** The report `lag` snapshots ago. */
  readonly report: (lag: number) => ObservedReport | undefined;
}

/** How the engine behaves and what it reports about itself. */
export interface FakeEngineOptions {
  readonly fencing: FencingSupport;
  /** Whether the engine holds all chunks of a version. */
  readonly holds: (versionDigest: VersionDigest) => boolean;
  /** Called before the last version of a model goes. */
  readonly onEmptied: (model: ModelName) => void;
  readonly onViolation: (violation: Violation) => void;
}

/** Creates an engine that has just started. */
export function createFakeEngine(options: FakeEngineOptions): FakeEngine {
  let life = 1;
  let highest = 0;
  const loaded = new Map<VersionDigest, ModelName>();
  const loading = new Map<VersionDigest, ModelName>();
  const running = new Map<VersionDigest, number>();
  const snapshots: ObservedReport[] = [];

  function load(versionDigest: VersionDigest, model: ModelName): OrderOutcome {
    if (!options.holds(versionDigest)) {
      options.onViolation('partialVersion');
      return {kind: 'incomplete', missing: ['sha256:missing']};
    }
    if (!loaded.has(versionDigest)) loading.set(versionDigest, model);
    return {kind: 'accepted'};
  }

  function unload(versionDigest: VersionDigest): OrderOutcome {
    const model = loaded.get(versionDigest);
    loading.delete(versionDigest);
    loaded.delete(versionDigest);
    if (model === undefined) return {kind: 'accepted'};
    if ((running.get(versionDigest) ?? 0) > 0) {
      running.delete(versionDigest);
      options.onViolation('cutRequest');
    }
    if (![...loaded.values()].includes(model)) options.onEmptied(model);
    return {kind: 'accepted'};
  }

  return {
    order: (order, fencing) => {
      if (options.fencing === 'checked' && fencing < highest) {
        return {kind: 'staleFencing', highest};
      }
      highest = Math.max(highest, fencing);
      if (order.kind === 'unload') return unload(order.versionDigest);
      return load(order.versionDigest, order.manifest.model);
    },
    loaded: () =>
      [...loaded].map(([versionDigest, model]) => ({model, versionDigest})),
    finishLoads: () => {
      for (const [versionDigest, model] of loading) {
        loaded.set(versionDigest, model);
      }
      loading.clear();
    },
    restart: () => {
      life += 1;
      highest = 0;
      loaded.clear();
      loading.clear();
      running.clear();
    },
    begin: versionDigest => {
      if (!loaded.has(versionDigest)) return false;
      running.set(versionDigest, (running.get(versionDigest) ?? 0) + 1);
      return true;
    },
    finish: () => {
      const [first] = running;
      if (first === undefined) return;
      if (first[1] > 1) running.set(first[0], first[1] - 1);
      else running.delete(first[0]);
    },
    running: () => new Map(running),
    snapshot: now => {
      const report = {
        life: String(life),
        loaded: [...loaded].map(([versionDigest, model]) => ({
          model,
          versionDigest,
        })),
        loading: [...loading.keys()],
      };
      snapshots.push({report, takenAt: now});
    },
    report: lag => snapshots.at(-1 - lag) ?? snapshots.at(0),
  };
}
