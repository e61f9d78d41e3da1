import {createCipheriv, createHash} from 'node:crypto';
import {canonicalJson} from '@hibiscusbeam/core';
import type {Bytes, Digest, VersionDigest} from '@hibiscusbeam/core';
import {digestOf} from '../shared/digest';
import type {PublishBody} from './schemas';

const KEY_LENGTH = 16;
const ZERO_IV = Buffer.alloc(KEY_LENGTH);

/** Chunks cached, so that a popular one is not generated for each request. */
const MAX_CACHED = 32;

/** Inputs from which a chunk's content is generated. */
interface ChunkRecipe {
  readonly seed: number;
  readonly position: number;
  readonly size: Bytes;
}

/** Manifest of a version; the version's digest is the hash of `text`. */
interface PublishedManifest {
  readonly text: string;
  readonly chunks: readonly PublishedChunk[];
}

/** A chunk as the manifest's JSON lists it. */
type PublishedChunk = Readonly<
  Record<'digest', Digest> & Record<'size', Bytes>
>;

/** Generates a cipher's key stream, which depends only on the recipe. */
function generateChunk({seed, position, size}: ChunkRecipe): Buffer {
  const key = createHash('sha256')
    .update(`${seed}/${position}`)
    .digest()
    .subarray(0, KEY_LENGTH);
  return createCipheriv('aes-128-ctr', key, ZERO_IV).update(Buffer.alloc(size));
}

/** Published versions; chunk content is generated on request. */
export interface VersionStore {
  /** Undefined if `sharedWith` names no version. */
  readonly publish: (body: PublishBody) => VersionDigest | undefined;
  readonly resolve: (model: string, label: string) => VersionDigest | undefined;
  readonly manifestText: (versionDigest: VersionDigest) => string | undefined;
  readonly chunk: (digest: Digest) => Buffer | undefined;
}

/** Creates an empty store. */
export function createVersionStore(): VersionStore {
  const labels = new Map<string, VersionDigest>();
  const manifests = new Map<VersionDigest, PublishedManifest>();
  const recipes = new Map<Digest, ChunkRecipe>();
  const cache = new Map<Digest, Buffer>();

  function cacheChunk(digest: Digest, content: Buffer): void {
    cache.set(digest, content);
    const [oldest] = cache.keys();
    if (cache.size > MAX_CACHED && oldest !== undefined) cache.delete(oldest);
  }

  function sharedChunks(body: PublishBody): readonly PublishedChunk[] {
    const other = manifests.get(body.sharedWith ?? '');
    const share = body.sharedShare ?? 0;
    return (other?.chunks ?? []).slice(0, Math.floor(share * body.chunkCount));
  }

  function newChunk(body: PublishBody, position: number): PublishedChunk {
    const recipe = {seed: body.seed, position, size: body.chunkSize};
    const digest = digestOf(generateChunk(recipe));
    recipes.set(digest, recipe);
    return {digest, size: body.chunkSize};
  }

  return {
    publish: body => {
      const {model, label, sharedWith} = body;
      if (sharedWith !== undefined && !manifests.has(sharedWith)) {
        return undefined;
      }
      const chunks = [...sharedChunks(body)];
      while (chunks.length < body.chunkCount) {
        chunks.push(newChunk(body, chunks.length));
      }
      const text = canonicalJson({model, label, chunks});
      const versionDigest = digestOf(text);
      manifests.set(versionDigest, {text, chunks});
      labels.set(`${model}\0${label}`, versionDigest);
      return versionDigest;
    },
    resolve: (model, label) => labels.get(`${model}\0${label}`),
    manifestText: versionDigest => manifests.get(versionDigest)?.text,
    chunk: digest => {
      const recipe = recipes.get(digest);
      if (recipe === undefined) return undefined;
      const content = cache.get(digest) ?? generateChunk(recipe);
      cacheChunk(digest, content);
      return content;
    },
  };
}
