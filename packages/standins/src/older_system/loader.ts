import type {Bytes, Manifest} from '@hibiscusbeam/core';
import type {OlderSystemHttp} from './http';

/**
 * The older system has no fencing numbers; any other number is above this one.
 */
const LOWEST_FENCING_NUMBER = 0;

/** Counts of the older system's orders and origin bytes so far. */
export interface LoaderState {
  readonly orders: {readonly accepted: number; readonly refused: number};
  readonly originBytes: Bytes;
}

/** Loads the older system's version into engines. */
export interface Loader {
  /** Copies missing chunks from the origin and orders the load; may reject. */
  readonly load: (engineUrl: string, signal: AbortSignal) => Promise<void>;
  readonly state: () => LoaderState;
}

/** Options of {@link createLoader}. */
export interface LoaderOptions {
  readonly http: OlderSystemHttp;
  /** The platform's `IP:port`. */
  readonly platform: string;
  readonly model: string;
  readonly label: string;
  /** Repeats the order in each round, even if the version is loaded. */
  readonly reorder: boolean;
}

/** Creates a loader for one model and label. */
export function createLoader(options: LoaderOptions): Loader {
  const {http, platform, model, label, reorder} = options;
  const origin = `http://${platform}/weights`;
  const orders = {accepted: 0, refused: 0};
  let originBytes: Bytes = 0;

  async function holdsVersion(
    engineUrl: string,
    versionDigest: string,
    signal: AbortSignal,
  ): Promise<boolean> {
    const report = await http.getJson<{
      loaded: readonly {versionDigest: string}[];
      loading: readonly string[];
    }>(`${engineUrl}/report`, signal);
    const loaded = report.loaded.map(version => version.versionDigest);
    return [...loaded, ...report.loading].includes(versionDigest);
  }

  async function copyChunks(
    engineUrl: string,
    manifest: Manifest,
    signal: AbortSignal,
  ): Promise<void> {
    const held = await http.getJson<{digests: readonly string[]}>(
      `${engineUrl}/chunks`,
      signal,
    );
    const present = new Set(held.digests);
    for (const {digest} of manifest.chunks) {
      if (present.has(digest)) continue;
      const bytes = await http.getBytes(`${origin}/chunks/${digest}`, signal);
      originBytes += bytes.length;
      await http.putBytes(`${engineUrl}/chunks/${digest}`, bytes, signal);
    }
  }

  return {
    load: async (engineUrl, signal) => {
      const {versionDigest} = await http.getJson<{versionDigest: string}>(
        `${origin}/models/${model}/versions/${label}`,
        signal,
      );
      const isHeld = await holdsVersion(engineUrl, versionDigest, signal);
      if (isHeld && !reorder) return;
      const manifest = await http.getJson<Manifest>(
        `${origin}/manifests/${versionDigest}`,
        signal,
      );
      await copyChunks(engineUrl, manifest, signal);
      const order = {kind: 'load', versionDigest, manifest};
      const body = {order, fencing: LOWEST_FENCING_NUMBER};
      if (signal.aborted) return;
      // An order in flight is not aborted: it could still arrive after the
      // older system has reported that it is no longer busy.
      const accepted = await http.postJson(`${engineUrl}/orders`, body);
      orders[accepted ? 'accepted' : 'refused'] += 1;
    },
    state: () => ({orders: {...orders}, originBytes}),
  };
}
