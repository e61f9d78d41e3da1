import {
  AGENT_TRANSFER_POLICY,
  type Bytes,
  type Digest,
  type Milliseconds,
  type MonotonicInstant,
} from '@hibiscusbeam/core';
import {
  digestBytes,
  type ChunkStore,
  type ChunkStoreError,
  type Clock,
  type Log,
} from '@hibiscusbeam/daemon';
import {Err, Ok, type Result} from 'ts-results';
import type {EngineControl, EngineError, VersionContent} from '../ports';
import {createStagedDigests} from './staged_digests';

/**
 * The staged chunks of the engine, by digest. They are also kept in memory
 * until the engine has loaded them: those of the next version because they may
 * not be staged yet, and all of them because staged bytes may become corrupted.
 *
 * The engine keeps one copy of a model, by position, and verifies nothing: a
 * chunk of a new version overwrites the old one.
 */
export interface StagedChunks {
  readonly store: ChunkStore;
  /**
   * Sets the version whose chunks are staged from now on, and stages those of
   * its chunks that were kept in memory.
   */
  readonly setStagedVersion: (content: VersionContent) => void;
  /**
   * Sets the version whose chunks are kept in memory until it becomes the
   * staged version.
   */
  readonly prepare: (content: VersionContent) => void;
  /**
   * Sets whether the engine answers. While it does not, chunks are kept in
   * memory only; they are staged once it does.
   *
   * An engine starts a second after its machine. Without this, its weights
   * would be moved only then, while the site is short of engines.
   */
  readonly setReachable: (isReachable: boolean) => void;
  /**
   * Prevents staging until `release`: the engine may still accept an order, or
   * what it took with one is to be read again.
   */
  readonly hold: () => void;
  /** Ends a hold, if there is one. */
  readonly release: () => void;
  /** Drops the chunks in memory of a version that the engine has loaded. */
  readonly forget: (content: VersionContent) => void;
  /**
   * Verifies all staged chunks of the version and stages corrupted ones again;
   * then runs `whenVerified` with nothing staged in between. Returns undefined
   * if a chunk is still missing or corrupted.
   */
  readonly withVerified: <Outcome>(
    content: VersionContent,
    whenVerified: (verified: VerifiedChunks) => Promise<Outcome>,
  ) => Promise<Outcome | undefined>;
  /**
   * Reads all staged chunks of the version and repairs none; then runs
   * `whenRead` with nothing staged in between.
   */
  readonly inspect: (
    content: VersionContent,
    whenRead: (state: StagedState) => void,
  ) => Promise<void>;
}

/** Staged chunks that were all found intact. */
export interface VerifiedChunks {
  /**
   * Whether none of them was read too long ago to rely on it, or may since have
   * been overwritten.
   */
  readonly areCurrent: () => boolean;
}

/** State of a version's staged chunks; unknown if the engine is silent. */
export type StagedState = 'intact' | 'corrupted' | 'unknown';

/**
 * How long a write without an answer may still be applied, and overwrite a
 * chunk that was verified since.
 */
const MAX_WRITE_DELAY: Milliseconds = 10_000;

/**
 * Passes over the staged chunks before an order; the second one is for a
 * suspension in the first. With slow reads, more would only delay the load.
 */
const MAX_CHECK_PASSES = 2;

/** Maximum size of a version whose chunks are kept in memory. */
const MAX_KEPT_BYTES: Bytes = 32 * 1024 * 1024;

/** Whether the chunks of a version of this size can be kept in memory. */
export function fitsInMemory(chunks: number, chunkSize: Bytes): boolean {
  return chunks * chunkSize <= MAX_KEPT_BYTES;
}

/** Incarnation of the staging area, which is always the same. */
const STAGING_INCARNATION = 'staged';

/** Creates a chunk store on top of the engine's staging area. */
export function createStagedChunks(
  engine: EngineControl,
  log: Log,
  clock: Clock,
): StagedChunks {
  let stagedVersion: VersionContent | undefined;
  let preparedVersion: VersionContent | undefined;
  const memoryCopies = new Map<Digest, Buffer>();
  const stagedDigests = createStagedDigests(clock);
  let isRead = false;
  let isReachable = true;
  let unansweredWriteAt: MonotonicInstant = -Infinity;
  let isHeld = false;
  let lastOperation: Promise<unknown> = Promise.resolve();

  async function put(
    digest: Digest,
    pieces: readonly Uint8Array[],
  ): Promise<Result<void, ChunkStoreError>> {
    await lastOperation;
    const bytes = Buffer.concat(pieces);
    const position = stagedVersion?.digests.indexOf(digest) ?? -1;
    const isPrepared = preparedVersion?.digests.includes(digest) === true;
    if (isPrepared || position !== -1) keepInMemory(digest, bytes);
    if (!isReachable && memoryCopies.has(digest)) return Ok.EMPTY;
    if (stagedVersion !== undefined && position !== -1) {
      if (isHeld) return heldResult(digest);
      return stageOrKeep(stagedVersion, position, digest, bytes);
    }
    if (isPrepared) return Ok.EMPTY;
    return Err({
      kind: 'refused',
      detail: 'the chunk belongs to another version',
    });
  }

  /**
   * Keeps a verified copy in memory, for other agents and to repair the staged
   * chunk. If staged bytes become corrupted on several engines, each of them
   * reports on a read that it no longer holds the chunk; after the last holder
   * has, the chunk is requested from the origin again only after seconds of
   * timeouts.
   */
  function keepInMemory(digest: Digest, bytes: Buffer): void {
    const chunks = Math.max(
      stagedVersion?.digests.length ?? 0,
      preparedVersion?.digests.length ?? 0,
    );
    if (fitsInMemory(chunks, bytes.length)) memoryCopies.set(digest, bytes);
  }

  function heldResult(digest: Digest): Result<void, ChunkStoreError> {
    if (memoryCopies.has(digest)) return Ok.EMPTY;
    return Err({
      kind: 'unavailable',
      detail: 'an earlier order is not settled yet',
    });
  }

  function release(): void {
    if (!isHeld) return;
    isHeld = false;
    stageKeptLater();
  }

  function stageKeptLater(): void {
    if (stagedVersion === undefined || memoryCopies.size === 0) return;
    const content = stagedVersion;
    void inTurn(() => stageKept(content));
  }

  /**
   * Stages a chunk. If the engine is silent, the chunk is kept in memory and
   * staged before the order.
   */
  async function stageOrKeep(
    content: VersionContent,
    position: number,
    digest: Digest,
    bytes: Buffer,
  ): Promise<Result<void, ChunkStoreError>> {
    const stored = await stage(content, position, digest, bytes);
    if (stored.ok || stored.val.kind !== 'unavailable') return stored;
    if (!memoryCopies.has(digest)) return stored;
    log.info('chunk waits in memory', {position, error: stored.val});
    return Ok.EMPTY;
  }

  async function stage(
    {model}: VersionContent,
    position: number,
    digest: Digest,
    bytes: Buffer,
  ): Promise<Result<void, ChunkStoreError>> {
    stagedDigests.delete(position);
    const requestedAt = clock();
    const stored = await engine.stage(model, position, bytes);
    if (stored.err) {
      if (stored.val.kind === 'unreachable') unansweredWriteAt = clock();
      return stored.mapErr(toStoreError);
    }
    stagedDigests.record(position, digest, requestedAt);
    return Ok.EMPTY;
  }

  function setStagedVersion(content: VersionContent): void {
    stagedVersion = content;
    preparedVersion = undefined;
    dropUnwanted();
    stageKeptLater();
  }

  function prepare(content: VersionContent): void {
    preparedVersion = content;
    dropUnwanted();
  }

  function dropUnwanted(): void {
    const wanted = [
      ...(stagedVersion?.digests ?? []),
      ...(preparedVersion?.digests ?? []),
    ];
    for (const digest of memoryCopies.keys()) {
      if (!wanted.includes(digest)) memoryCopies.delete(digest);
    }
  }

  function setReachable(isReachableNow: boolean): void {
    isReachable = isReachableNow;
    if (isReachable) stageKeptLater();
  }

  function forget(content: VersionContent): void {
    for (const digest of content.digests) {
      if (preparedVersion?.digests.includes(digest) !== true) {
        memoryCopies.delete(digest);
      }
    }
  }

  /** Stages the chunks in memory that are not staged intact. */
  async function stageKept(content: VersionContent): Promise<void> {
    for (const [position, digest] of content.digests.entries()) {
      const bytes = memoryCopies.get(digest);
      if (bytes === undefined || stagedDigests.get(position) === digest) {
        continue;
      }
      if (isHeld || stagedVersion?.version !== content.version) return;
      await stage(content, position, digest, bytes);
    }
  }

  async function list() {
    if (stagedVersion === undefined) {
      return Ok({life: STAGING_INCARNATION, digests: []});
    }
    // Reading all chunks takes 100 ms, and is done right before an order
    // anyway.
    if (!isRead && isReachable) {
      const read = await readAll(stagedVersion);
      if (read.err) return read.mapErr(toStoreError);
    }
    return Ok({
      life: STAGING_INCARNATION,
      digests: [...stagedDigests.list(), ...memoryCopies.keys()],
    });
  }

  /**
   * Reads the staged chunks and records the digest at each position. For chunks
   * that a silent engine does not return, the known digest stays, and they are
   * read again later.
   */
  async function readAll(
    content: VersionContent,
  ): Promise<Result<void, EngineError>> {
    const staged = await engine.staged(content.model);
    if (staged.err) return staged;
    const positions = new Set(staged.val);
    stagedDigests.retain(positions);
    for (const position of positions) {
      const read = await readDigest(content, position);
      if (read.err) return read;
    }
    isRead = true;
    return Ok.EMPTY;
  }

  /** Fails only if the engine is silent. */
  async function readDigest(
    {model}: VersionContent,
    position: number,
  ): Promise<Result<void, EngineError>> {
    const requestedAt = clock();
    const read = await engine.readStaged(model, position);
    if (read.ok) {
      stagedDigests.record(position, digestBytes(read.val), requestedAt);
      return Ok.EMPTY;
    }
    if (read.val.kind === 'unreachable') return read;
    stagedDigests.delete(position);
    return Ok.EMPTY;
  }

  async function* get(
    digest: Digest,
  ): AsyncGenerator<Result<Uint8Array, ChunkStoreError>> {
    const inMemory = memoryCopies.get(digest);
    if (inMemory !== undefined) {
      yield* splitIntoPieces(inMemory);
      return;
    }
    const position = stagedDigests.positionOf(digest);
    if (stagedVersion === undefined || position === undefined) {
      yield Err({kind: 'notHeld', detail: 'not staged'});
      return;
    }
    const read = await engine.readStaged(stagedVersion.model, position);
    // If a corrupted chunk were sent, the receiver would cut off this agent as
    // a sender of bad chunks.
    if (read.ok && digestBytes(read.val) !== digest) {
      stagedDigests.delete(position);
      yield Err({kind: 'notHeld', detail: 'the staged chunk is corrupted'});
      return;
    }
    if (read.err) {
      yield read.mapErr(toStoreError);
      return;
    }
    yield* splitIntoPieces(read.val);
  }

  /**
   * Reads and repairs all chunks, and reads again those that were last read too
   * long ago. Returns whether all chunks are intact.
   */
  async function verify(content: VersionContent): Promise<boolean> {
    let read = await readAll(content);
    for (let pass = 1; read.ok; pass += 1) {
      await stageKept(content);
      if (!stagedDigests.areIntact(content)) return false;
      const outdated = stagedDigests.outdated(content);
      if (outdated.length === 0 || pass === MAX_CHECK_PASSES) return true;
      log.info('verifies staged chunks again', {chunks: outdated.length, pass});
      for (const position of outdated) {
        read = await readDigest(content, position);
        if (read.err) break;
      }
    }
    return false;
  }

  /** Runs an operation after all earlier ones, with no other alongside it. */
  function inTurn<Outcome>(
    operation: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const run = lastOperation.then(operation);
    lastOperation = run.catch(() => undefined);
    return run;
  }

  function withVerified<Outcome>(
    content: VersionContent,
    whenVerified: (verified: VerifiedChunks) => Promise<Outcome>,
  ): Promise<Outcome | undefined> {
    return inTurn(async () => {
      if (!(await verify(content))) return undefined;
      const areCurrent = () =>
        stagedDigests.outdated(content).length === 0 &&
        clock() - unansweredWriteAt > MAX_WRITE_DELAY;
      return whenVerified({areCurrent});
    });
  }

  function inspect(
    content: VersionContent,
    whenRead: (state: StagedState) => void,
  ): Promise<void> {
    return inTurn(async () => {
      const read = await readAll(content);
      if (read.err) whenRead('unknown');
      else whenRead(stagedDigests.areIntact(content) ? 'intact' : 'corrupted');
    });
  }

  return {
    store: {put, list, get},
    setStagedVersion,
    prepare,
    setReachable,
    hold: () => void (isHeld = true),
    release,
    forget,
    withVerified,
    inspect,
  };
}

function* splitIntoPieces(bytes: Buffer): Generator<Result<Uint8Array, never>> {
  const {pieceSize} = AGENT_TRANSFER_POLICY;
  for (let at = 0; at < bytes.length; at += pieceSize) {
    yield Ok(bytes.subarray(at, at + pieceSize));
  }
}

function toStoreError(error: EngineError): ChunkStoreError {
  switch (error.kind) {
    case 'notHeld':
      return error;
    case 'refused':
      return error;
    case 'unreachable':
    case 'malformed':
      return {kind: 'unavailable', detail: error.detail};
  }
}
