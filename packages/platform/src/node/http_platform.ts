import type {
  DigestText,
  Manifest,
  Milliseconds,
  PlatformError,
  VersionDigest,
} from '@hibiscusbeam/core';
import {Err} from 'ts-results';
import type {Result} from 'ts-results';
import type {
  InstanceList,
  ObjectStore,
  Platform,
  TableService,
  WeightStore,
} from '../types/ports';
import {createChunkStream} from './chunk_stream';
import {createHttpClient} from './http_client';
import type {HttpClient} from './http_client';
import {parseJson} from './parse_json';
import {
  commitAnswerSchema,
  instancesAnswerSchema,
  manifestSchema,
  readAnswerSchema,
  resolveAnswerSchema,
  scanAnswerSchema,
} from './schemas';

/** Options of {@link createHttpPlatform}. */
export interface HttpPlatformOptions {
  /** Base address, `http://IP:port`. */
  readonly url: string;
  /** Timeout of one whole call; callers bound chunk transfers themselves. */
  readonly timeout: Milliseconds;
  /** If given, each manifest is verified against the requested digest. */
  readonly digestText?: DigestText;
}

function createTableService(client: HttpClient): TableService {
  return {
    read: async key => {
      const answer = await client.json(
        {method: 'POST', path: '/table/read', body: {key}, effect: 'read'},
        readAnswerSchema,
      );
      return answer.map(({row}) => row ?? undefined);
    },
    scan: async (prefix, limit) => {
      const body = {prefix, limit};
      const answer = await client.json(
        {method: 'POST', path: '/table/scan', body, effect: 'read'},
        scanAnswerSchema,
      );
      return answer.map(({rows}) => rows);
    },
    commit: async transaction => {
      const body = {transaction};
      const answer = await client.json(
        {method: 'POST', path: '/table/commit', body, effect: 'write'},
        commitAnswerSchema,
      );
      return answer.map(({outcome}) => outcome);
    },
  };
}

function createObjectStore(client: HttpClient): ObjectStore {
  const pathOf = (key: string) =>
    `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
  return {
    get: key =>
      client.bytes({method: 'GET', path: pathOf(key), effect: 'read'}),
    put: async (key, bytes) => {
      const path = pathOf(key);
      const answer = await client.text({
        method: 'PUT',
        path,
        bytes,
        effect: 'write',
      });
      return answer.map(() => undefined);
    },
  };
}

function createWeightStore(
  client: HttpClient,
  options: HttpPlatformOptions,
): WeightStore {
  async function manifest(
    versionDigest: VersionDigest,
  ): Promise<Result<Manifest, PlatformError>> {
    const path = `/weights/manifests/${encodeURIComponent(versionDigest)}`;
    const text = await client.text({method: 'GET', path, effect: 'read'});
    return text.andThen(content => {
      const digest = options.digestText?.(content) ?? versionDigest;
      // With the manifest of another version, that version's chunks would be
      // loaded under this version's name; the digest detects this.
      if (digest !== versionDigest) {
        const detail = `${path}: unexpected digest ${digest}`;
        return Err({kind: 'malformed', detail} as const);
      }
      return parseJson(content, manifestSchema, path);
    });
  }

  return {
    resolve: async (model, label) => {
      const path = `/weights/models/${encodeURIComponent(model)}/versions/${encodeURIComponent(label)}`;
      const answer = await client.json(
        {method: 'GET', path, effect: 'read'},
        resolveAnswerSchema,
      );
      return answer.map(({versionDigest}) => versionDigest);
    },
    manifest,
    chunk: createChunkStream(options.url),
  };
}

function createInstanceList(client: HttpClient): InstanceList {
  return {
    list: async () => {
      const answer = await client.json(
        {method: 'GET', path: '/instances', effect: 'read'},
        instancesAnswerSchema,
      );
      return answer.map(({instances}) => instances);
    },
  };
}

/**
 * Creates a client of the platform over HTTP; throws if the host of the address
 * is not an IP number.
 */
export function createHttpPlatform(options: HttpPlatformOptions): Platform {
  const client = createHttpClient(options);
  return {
    table: createTableService(client),
    objects: createObjectStore(client),
    weights: createWeightStore(client, options),
    instances: createInstanceList(client),
  };
}
