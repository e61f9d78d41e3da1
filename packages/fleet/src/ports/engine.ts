import type {
  EpochMilliseconds,
  HeldModel,
  Milliseconds,
  ModelName,
} from '@hibiscusbeam/core';
import type {Result} from 'ts-results';
import type {EngineError} from './errors';

/** Status of an engine, as reported by itself. */
export interface EngineStatus {
  /** Models that the engine holds completely and serves. */
  readonly held: readonly HeldModel[];
  /** Whether an order is in progress. */
  readonly ordering: boolean;
  readonly running: number;
  readonly waiting: number;
  /** Factor by which a pass takes longer than the service's profile states. */
  readonly pace: number;
  /** Share of its request memory in use; undefined if unknown. */
  readonly memoryShare: number | undefined;
  /**
   * Start time of this incarnation; undefined if the engine does not report it.
   */
  readonly born: EpochMilliseconds | undefined;
}

/** Reply of an engine to the order to load. */
export type LoadReply = 'begun' | 'inForce' | 'unfit';

/** Interface of an engine, used from the same machine. */
export interface EngineControl {
  readonly standing: (
    timeout: Milliseconds,
  ) => Promise<Result<EngineStatus, EngineError>>;
  /** Positions of the staged chunks. */
  readonly staged: (
    model: ModelName,
  ) => Promise<Result<readonly number[], EngineError>>;
  readonly readStaged: (
    model: ModelName,
    position: number,
  ) => Promise<Result<Buffer, EngineError>>;
  /** Stages a chunk; overwrites any chunk at its position. */
  readonly stage: (
    model: ModelName,
    position: number,
    content: Buffer,
  ) => Promise<Result<void, EngineError>>;
  /**
   * Orders the engine to serve the staged version once its running requests
   * have ended.
   */
  readonly load: (
    model: ModelName,
    version: number,
  ) => Promise<Result<LoadReply, EngineError>>;
}

/** Digests of a version's chunks, by position. */
export interface VersionContent {
  readonly model: ModelName;
  readonly version: number;
  /** `sha256:` followed by hexadecimal digits. */
  readonly digests: readonly string[];
}

/** The origin of weights. */
export interface VersionOrigin {
  /**
   * Reads the content of `version`, or of the newest one if it is undefined.
   */
  readonly content: (
    address: string,
    model: ModelName,
    version: number | undefined,
  ) => Promise<Result<VersionContent, EngineError>>;
  /** Yields the chunk's bytes as they arrive, unverified. */
  readonly chunk: (
    address: string,
    content: VersionContent,
    position: number,
    signal: AbortSignal,
  ) => AsyncIterable<Result<Uint8Array, EngineError>>;
}
