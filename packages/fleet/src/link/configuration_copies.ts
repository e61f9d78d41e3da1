import type {ConfigurationCopy} from '@hibiscusbeam/wire';
import {applyDelta, createDelta} from 'fossil-delta';
import {createHash} from 'node:crypto';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Err, Ok, type Result} from 'ts-results';
import type {ConfigurationDocument, Revision} from '../ports';
import {isSimilar} from './text_similarity';

/**
 * Number of configurations that are kept as bases of deltas. A follower reports
 * within a second which one it holds, and at most four are read in that time.
 */
const MAX_BASE_DOCUMENTS = 5;

/**
 * Maximum size of a configuration's text: sixteen times that of one with 1,650
 * routes. It bounds the decompressed size of a corrupted copy.
 */
const MAX_TEXT_BYTES = 8 * 1024 * 1024;

/**
 * Texts below this size are always sent as a delta, without a similarity check.
 */
const MIN_COMPARED_BYTES = 64 * 1024;

/** Why a copy can't be read. */
export type CopyError =
  /** The base of the delta is not held here. */
  | {readonly kind: 'baseMissing'; readonly baseRevision: Revision}
  /** The resulting text differs from the sender's. */
  | {readonly kind: 'spoilt'; readonly detail: string};

/** The newest configurations, and their encoded copies for other entries. */
export interface ConfigurationCopies {
  readonly add: (document: ConfigurationDocument) => void;
  /** Adds the newest configuration again, under a later revision. */
  readonly addUnchanged: (revision: Revision) => void;
  /** Revision of the newest configuration held; 0 if there is none. */
  readonly newestRevision: () => Revision;
  /**
   * Encodes the newest configuration for an entry that holds the one of
   * revision `base`.
   */
  readonly write: (base: Revision) => ConfigurationCopy | undefined;
  /** Decodes the configuration of a copy, without adding it. */
  readonly read: (
    copy: ConfigurationCopy,
  ) => Result<ConfigurationDocument, CopyError>;
}

/**
 * Creates an empty set of configurations.
 *
 * A configuration of 1,650 routes has 0.35 MB. If each entry read it from the
 * store, a change every 0.4 s would saturate links of 2 MB a second between
 * regions, and requests and reports would be delayed. A copy contains only the
 * delta to a configuration that the receiver holds: 0.1 KB for a change of one
 * route, 25 KB if it holds none.
 */
export function createConfigurationCopies(): ConfigurationCopies {
  let documents: readonly ConfigurationDocument[] = [];
  let copies = new Map<Revision, ConfigurationCopy>();

  function newest(): ConfigurationDocument | undefined {
    return documents.at(-1);
  }

  function held(revision: Revision): ConfigurationDocument | undefined {
    return documents.find(document => document.revision === revision);
  }

  function add(document: ConfigurationDocument): void {
    if (document.revision <= (newest()?.revision ?? 0)) return;
    documents = [...documents, document].slice(-MAX_BASE_DOCUMENTS);
    copies = new Map();
  }

  function addUnchanged(revision: Revision): void {
    const document = newest();
    if (document !== undefined) add({...document, revision});
  }

  /**
   * Skips bases with little in common: a delta between texts that differ in
   * every route would block the event loop for long.
   */
  function baseFor(
    {text}: ConfigurationDocument,
    revision: Revision,
  ): ConfigurationDocument | undefined {
    const base = held(revision);
    if (base === undefined || text.length < MIN_COMPARED_BYTES) return base;
    return isSimilar(text, base.text) ? base : undefined;
  }

  function write(base: Revision): ConfigurationCopy | undefined {
    const document = newest();
    if (document === undefined) return undefined;
    const baseDocument = baseFor(document, base);
    const baseRevision = baseDocument?.revision ?? 0;
    const known = copies.get(baseRevision);
    if (known !== undefined) return known;
    const copy = createCopy(document, baseDocument);
    copies.set(baseRevision, copy);
    return copy;
  }

  function read(
    copy: ConfigurationCopy,
  ): Result<ConfigurationDocument, CopyError> {
    const {revision, baseRevision} = copy;
    const base = held(baseRevision);
    if (baseRevision !== 0 && base === undefined) {
      return Err({kind: 'baseMissing', baseRevision});
    }
    const text = decompress(copy, base);
    if (text.err) return text;
    if (digestOf(text.val).equals(copy.digest)) {
      return Ok({revision, text: text.val});
    }
    return Err({kind: 'spoilt', detail: 'digest mismatch'});
  }

  return {
    add,
    addUnchanged,
    newestRevision: () => newest()?.revision ?? 0,
    write,
    read,
  };
}

function createCopy(
  {revision, text}: ConfigurationDocument,
  base: ConfigurationDocument | undefined,
): ConfigurationCopy {
  const content =
    base === undefined
      ? text
      : Buffer.from(createDelta<Uint8Array>(base.text, text));
  return {
    revision,
    baseRevision: base?.revision ?? 0,
    content: deflateRawSync(content),
    digest: digestOf(text),
  };
}

function decompress(
  {content}: ConfigurationCopy,
  base: ConfigurationDocument | undefined,
): Result<Buffer, CopyError> {
  try {
    const inflated = inflateRawSync(content, {maxOutputLength: MAX_TEXT_BYTES});
    if (base === undefined) return Ok(inflated);
    return Ok(Buffer.from(applyDelta<Uint8Array>(base.text, inflated)));
  } catch (error) {
    // Both libraries throw on invalid input.
    const detail = error instanceof Error ? error.message : String(error);
    return Err({kind: 'spoilt', detail});
  }
}

function digestOf(text: Uint8Array): Buffer {
  return createHash('sha256').update(text).digest();
}
