import type {PlatformError} from '@hibiscusbeam/core';
import type {Platform} from '@hibiscusbeam/platform';
import type {Result} from 'ts-results';
import type {Metrics} from '../metrics';
import type {Clock} from '../runtime/clock';

type Call<Value> = () => Promise<Result<Value, PlatformError>>;

/** Wraps a platform so that each call is counted and timed. */
export function measurePlatform(
  platform: Platform,
  metrics: Metrics,
  clock: Clock,
): Platform {
  const measure = async <Value>(
    operation: string,
    call: Call<Value>,
  ): Promise<Result<Value, PlatformError>> => {
    const startedAt = clock();
    const result = await call();
    const outcome = result.ok ? 'ok' : result.val.kind;
    metrics.count('platform.calls', {operation, outcome});
    metrics.time('platform.duration', {operation}, clock() - startedAt);
    return result;
  };
  const {table, objects, weights, instances} = platform;
  return {
    table: {
      read: key => measure('table.read', () => table.read(key)),
      scan: (prefix, limit) =>
        measure('table.scan', () => table.scan(prefix, limit)),
      commit: transaction =>
        measure('table.commit', () => table.commit(transaction)),
    },
    objects: {
      get: key => measure('objects.get', () => objects.get(key)),
      put: (key, content) =>
        measure('objects.put', () => objects.put(key, content)),
    },
    weights: {
      resolve: (model, label) =>
        measure('weights.resolve', () => weights.resolve(model, label)),
      manifest: versionDigest =>
        measure('weights.manifest', () => weights.manifest(versionDigest)),
      // Transfers count the bytes of chunks themselves.
      chunk: weights.chunk,
    },
    instances: {
      list: () => measure('instances.list', () => instances.list()),
    },
  };
}
