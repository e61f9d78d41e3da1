import type {
  EpochMilliseconds,
  HeldModel,
  Milliseconds,
  ModelName,
} from '@hibiscusbeam/core';
import type {Result} from 'ts-results';
import type {EngineError} from './errors';

/** How an engine stands, by its own word. */
export interface EngineStatus {
  /** Models that it holds whole and serves. */
  readonly held: readonly HeldModel[];
  /** Whether an order is in progress. */
  readonly ordering: boolean;
  readonly running: number;
  readonly waiting: number;
  /** Times a pass takes longer than the service's profile says. */
  readonly pace: number;
  /** Share of its memory for requests that is in use; undefined if unknown. */
  readonly memoryShare: number | undefined;
  /** Start of its life; undefined if it doesn't say. */
  readonly born: EpochMilliseconds | undefined;
}

/** How an engine took the order to load. */
export type LoadReply = 'begun' | 'inForce' | 'unfit';

/** An engine's own interface, as used from its own machine. */
export interface EngineControl {
  readonly standing: (
    timeout: Milliseconds,
  ) => Promise<Result<EngineStatus, EngineError>>;
  /** Positions of the chunks that lie staged. */
  readonly staged: (
    model: ModelName,
  ) => Promise<Result<readonly number[], EngineError>>;
  readonly readStaged: (
    model: ModelName,
    position: number,
  ) => Promise<Result<Buffer, EngineError>>;
  /** Stages a chunk; overwrites what lies at its position. */
  readonly stage: (
    model: ModelName,
    position: number,
    content: Buffer,
  ) => Promise<Result<void, EngineError>>;
  /** Orders the engine to serve what lies staged, after what runs. */
  readonly load: (
    model: ModelName,
    version: number,
  ) => Promise<Result<LoadReply, EngineError>>;
}

/** Digests of a version's chunks, in order of their positions. */
export interface VersionContent {
  readonly model: ModelName;
  readonly version: number;
  /** `sha256:` and hexadecimal digits. */
  readonly digests: readonly string[];
}

/** The origin of weights. */
export interface VersionOrigin {
  /** The content of `version`; of the newest one if it is undefined. */
  readonly content: (
    address: string,
    model: ModelName,
    version: number | undefined,
  ) => Promise<Result<VersionContent, EngineError>>;
  /** Yields the chunk's bytes as they come; not verified. */
  readonly chunk: (
    address: string,
    content: VersionContent,
    position: number,
    signal: AbortSignal,
  ) => AsyncIterable<Result<Uint8Array, EngineError>>;
}
