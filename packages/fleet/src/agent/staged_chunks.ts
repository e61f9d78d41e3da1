import {
  AGENT_TRANSFER_POLICY,
  type Bytes,
  type Digest,
} from '@hibiscusbeam/core';
import {
  digestBytes,
  type ChunkStore,
  type ChunkStoreError,
  type Log,
} from '@hibiscusbeam/daemon';
import {Err, Ok, type Result} from 'ts-results';
import type {EngineControl, EngineError, VersionContent} from '../ports';

/**
 * The chunks that lie staged at the engine, by digest. They are kept in memory
 * too until the engine has taken them: those of the next version since they may
 * not be staged yet, and all of them since staged bytes may turn bad.
 *
 * The engine keeps one copy of a model, by position, and checks nothing: a new
 * version's chunk overwrites the old one's, and staged bytes may turn bad.
 */
export interface StagedChunks {
  readonly store: ChunkStore;
  /**
   * Sets the version whose chunks are staged from now on; stages those of it
   * that were kept in memory.
   */
  readonly setStagedVersion: (content: VersionContent) => void;
  /** Sets the version whose chunks are kept in memory until it is aimed at. */
  readonly prepare: (content: VersionContent) => void;
  /**
   * Sets whether the engine answers. While it does not, chunks are kept in
   * memory only; then they are staged.
   *
   * Failure: an engine comes up a second after its machine, and its weights begin
   * to move only then, while the site is short of engines.
   */
  readonly setReachable: (isReachable: boolean) => void;
  /** Stages nothing of other versions until the engine is known to answer. */
  readonly hold: (content: VersionContent) => void;
  /** Ends a hold, if there is one. */
  readonly release: () => void;
  /** Drops what is kept in memory of a version that the engine has taken. */
  readonly forget: (content: VersionContent) => void;
  /**
   * Reads all staged chunks of the version again and stages bad ones anew; then
   * runs `whenWhole` with nothing staged in between. Returns undefined if a
   * chunk is still missing or bad.
   */
  readonly withVerified: <Outcome>(
    content: VersionContent,
    whenWhole: () => Promise<Outcome>,
  ) => Promise<Outcome | undefined>;
}

/** Largest version whose chunks are kept in memory. */
const MAX_KEPT_BYTES: Bytes = 32 * 1024 * 1024;

/** Whether the chunks of such a version can be kept in memory. */
export function fitsInMemory(chunks: number, chunkSize: Bytes): boolean {
  return chunks * chunkSize <= MAX_KEPT_BYTES;
}

/** Name of the only life that the staging area has. */
const STAGING_INCARNATION = 'staged';

/** Creates the store over the engine's staging area. */
export function createStagedChunks(
  engine: EngineControl,
  log: Log,
): StagedChunks {
  let stagedVersion: VersionContent | undefined;
  let preparedVersion: VersionContent | undefined;
  const memoryCopies = new Map<Digest, Buffer>();
  /** Digest that was last seen or put at each position. */
  const stagedDigests = new Map<number, Digest>();
  let isRead = false;
  let isReachable = true;
  /** The version whose order has had no answer. */
  let unansweredOrder: VersionContent | undefined;
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
      if (isBlockedByOrder(stagedVersion)) return blockedResult(digest);
      return stageOrKeep(stagedVersion, position, digest, bytes);
    }
    if (isPrepared) return Ok.EMPTY;
    return Err({kind: 'refused', detail: 'the chunk is of another version'});
  }

  /**
   * Failure: staged bytes turn bad on several engines. Each that reads them
   * for another agent says that it holds them no more, and when the last holder
   * has, the chunk is asked of the origin anew after seconds of patience.
   * Guard: a verified copy stays in memory for the others and to mend the own.
   */
  function keepInMemory(digest: Digest, bytes: Buffer): void {
    const chunks = Math.max(
      stagedVersion?.digests.length ?? 0,
      preparedVersion?.digests.length ?? 0,
    );
    if (fitsInMemory(chunks, bytes.length)) memoryCopies.set(digest, bytes);
  }

  /** An engine may yet accept the order, and load whatever lies staged then. */
  function isBlockedByOrder({version}: VersionContent): boolean {
    return unansweredOrder !== undefined && unansweredOrder.version !== version;
  }

  function blockedResult(digest: Digest): Result<void, ChunkStoreError> {
    if (memoryCopies.has(digest)) return Ok.EMPTY;
    return Err({kind: 'unavailable', detail: 'an order has no answer yet'});
  }

  function release(): void {
    if (unansweredOrder === undefined) return;
    unansweredOrder = undefined;
    stageKeptLater();
  }

  function stageKeptLater(): void {
    if (stagedVersion === undefined || memoryCopies.size === 0) return;
    const content = stagedVersion;
    lastOperation = lastOperation.then(() => stageKept(content));
  }

  /** What a silent engine doesn't take is staged from memory before the order. */
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
    const stored = await engine.stage(model, position, bytes);
    if (stored.err) return stored.mapErr(toStoreError);
    stagedDigests.set(position, digest);
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

  /** Stages kept chunks that don't lie there whole. */
  async function stageKept(content: VersionContent): Promise<void> {
    for (const [position, digest] of content.digests.entries()) {
      const bytes = memoryCopies.get(digest);
      if (bytes === undefined || stagedDigests.get(position) === digest) {
        continue;
      }
      if (
        stagedVersion?.version !== content.version ||
        isBlockedByOrder(content)
      ) {
        return;
      }
      await stage(content, position, digest, bytes);
    }
  }

  async function list() {
    if (stagedVersion === undefined) {
      return Ok({life: STAGING_INCARNATION, digests: []});
    }
    // Reading all again takes 100 ms; it is done right before an order anyway.
    if (!isRead && isReachable) {
      const read = await readAll(stagedVersion);
      if (read.err) return read.mapErr(toStoreError);
    }
    return Ok({
      life: STAGING_INCARNATION,
      digests: [...stagedDigests.values(), ...memoryCopies.keys()],
    });
  }

  /**
   * Reads what lies staged, and remembers the digest at each position. What a
   * silent engine doesn't give stays as it was known, and is read again.
   */
  async function readAll(
    content: VersionContent,
  ): Promise<Result<void, EngineError>> {
    const staged = await engine.staged(content.model);
    if (staged.err) return staged;
    const positions = new Set(staged.val);
    for (const position of [...stagedDigests.keys()]) {
      if (!positions.has(position)) stagedDigests.delete(position);
    }
    for (const position of positions) {
      const read = await engine.readStaged(content.model, position);
      if (read.ok) stagedDigests.set(position, digestBytes(read.val));
      else if (read.val.kind === 'unreachable') return read;
      else stagedDigests.delete(position);
    }
    isRead = true;
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
    const position = positionOf(digest);
    if (stagedVersion === undefined || position === undefined) {
      yield Err({kind: 'notHeld', detail: 'not staged'});
      return;
    }
    const read = await engine.readStaged(stagedVersion.model, position);
    // Failure: a chunk that turned bad here is passed on, and the reader cuts
    // this agent off as a sender of bad chunks.
    if (read.ok && digestBytes(read.val) !== digest) {
      stagedDigests.delete(position);
      yield Err({kind: 'notHeld', detail: 'the staged chunk has turned bad'});
      return;
    }
    if (read.err) {
      yield read.mapErr(toStoreError);
      return;
    }
    yield* splitIntoPieces(read.val);
  }

  function positionOf(digest: Digest): number | undefined {
    for (const [position, held] of stagedDigests) {
      if (held === digest) return position;
    }
    return undefined;
  }

  async function withVerified<Outcome>(
    content: VersionContent,
    whenVerified: () => Promise<Outcome>,
  ): Promise<Outcome | undefined> {
    const run = lastOperation.then(async () => {
      const read = await readAll(content);
      if (read.err) return undefined;
      await stageKept(content);
      const isWhole = content.digests.every(
        (digest, position) => stagedDigests.get(position) === digest,
      );
      return isWhole ? whenVerified() : undefined;
    });
    lastOperation = run.catch(() => undefined);
    return run;
  }

  return {
    store: {put, list, get},
    setStagedVersion,
    prepare,
    setReachable,
    hold: content => void (unansweredOrder = content),
    release,
    forget,
    withVerified,
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
