import type {
  FencingSupport,
  Milliseconds,
  ModelName,
  VersionDigest,
} from '@hibiscusbeam/core';
import {canonicalJson} from '@hibiscusbeam/core';
import type {Clock} from '../shared/clock';
import type {Freezer} from '../shared/freezer';
import {digestOf} from '../shared/digest';
import type {ChunkStore} from './chunk_store';
import type {Order} from './schemas';

/** A version that the engine serves. */
export interface LoadedVersion {
  readonly model: ModelName;
  readonly versionDigest: VersionDigest;
}

/** Result of an order. */
export type OrderOutcome =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'staleFencing'; readonly highest: number}
  | {readonly kind: 'manifestMismatch'}
  | {readonly kind: 'incomplete'; readonly missing: readonly string[]};

/** An accepted order, listed for tests. */
export interface AcceptedOrder {
  readonly kind: Order['kind'];
  readonly versionDigest: VersionDigest;
  readonly fencing: number;
  readonly giver: string;
}

/** The versions an engine holds, and the orders that change them. */
export interface EngineVersions {
  /** Applies an order; orders take effect one after the other. */
  readonly order: (
    order: Order,
    fencing: number,
    giver: string,
  ) => Promise<OrderOutcome>;
  /** The version of `model` with the digest; the last loaded one without it. */
  readonly find: (
    model: ModelName,
    versionDigest: VersionDigest | undefined,
  ) => LoadedVersion | undefined;
  readonly loaded: () => readonly LoadedVersion[];
  readonly loading: () => readonly VersionDigest[];
  readonly orders: () => readonly AcceptedOrder[];
  readonly setLoadTime: (loadTime: Milliseconds) => void;
  readonly setFencing: (fencing: FencingSupport) => void;
}

/** Options of {@link createEngineVersions}. */
export interface EngineVersionsOptions {
  readonly clock: Clock;
  readonly freezer: Freezer;
  readonly chunks: ChunkStore;
  readonly loadTime: Milliseconds;
  readonly fencing: FencingSupport;
  readonly onChange: () => void;
  readonly onUnload: (versionDigest: VersionDigest) => void;
}

/** Creates the versions of an engine, with none loaded. */
export function createEngineVersions(
  options: EngineVersionsOptions,
): EngineVersions {
  const {clock, freezer, chunks} = options;
  const loaded = new Map<VersionDigest, LoadedVersion>();
  const loading = new Map<VersionDigest, symbol>();
  const orders: AcceptedOrder[] = [];
  let loadTime = options.loadTime;
  let fencingSupport = options.fencing;
  let highestFencing = 0;
  let lastOutcome: Promise<unknown> = Promise.resolve();

  /** Loads a version; an unload before the load is complete cancels it. */
  async function load(version: LoadedVersion): Promise<void> {
    const loadMark = Symbol(version.versionDigest);
    loading.set(version.versionDigest, loadMark);
    options.onChange();
    await clock.wait(loadTime);
    await freezer.whenUnfrozen();
    if (loading.get(version.versionDigest) !== loadMark) return;
    loading.delete(version.versionDigest);
    loaded.set(version.versionDigest, version);
    options.onChange();
  }

  function unload(versionDigest: VersionDigest): void {
    loading.delete(versionDigest);
    if (loaded.delete(versionDigest)) options.onUnload(versionDigest);
    options.onChange();
  }

  async function applyOrder(order: Order): Promise<OrderOutcome> {
    const {versionDigest} = order;
    if (order.kind === 'unload') {
      unload(versionDigest);
      return {kind: 'accepted'};
    }
    if (loaded.has(versionDigest) || loading.has(versionDigest)) {
      return {kind: 'accepted'};
    }
    const {manifest} = order;
    if (digestOf(canonicalJson(manifest)) !== versionDigest) {
      return {kind: 'manifestMismatch'};
    }
    const missing = await chunks.missing(manifest);
    if (missing.length > 0) return {kind: 'incomplete', missing};
    void load({model: manifest.model, versionDigest});
    return {kind: 'accepted'};
  }

  async function checkFencingAndApply(
    order: Order,
    fencing: number,
    giver: string,
  ): Promise<OrderOutcome> {
    if (fencingSupport === 'checked' && fencing < highestFencing) {
      return {kind: 'staleFencing', highest: highestFencing};
    }
    highestFencing = Math.max(highestFencing, fencing);
    const outcome = await applyOrder(order);
    if (outcome.kind === 'accepted') {
      const {kind, versionDigest} = order;
      orders.push({kind, versionDigest, fencing, giver});
    }
    return outcome;
  }

  return {
    order: (order, fencing, giver) => {
      const outcome = lastOutcome.then(() =>
        checkFencingAndApply(order, fencing, giver),
      );
      lastOutcome = outcome;
      return outcome;
    },
    find: (model, versionDigest) => {
      const versions = [...loaded.values()].filter(
        version => version.model === model,
      );
      if (versionDigest === undefined) return versions.at(-1);
      return versions.find(version => version.versionDigest === versionDigest);
    },
    loaded: () => [...loaded.values()],
    loading: () => [...loading.keys()],
    orders: () => [...orders],
    setLoadTime: value => {
      loadTime = value;
    },
    setFencing: value => {
      fencingSupport = value;
    },
  };
}
