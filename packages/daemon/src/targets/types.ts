import type {
  AttemptId,
  Digest,
  Manifest,
  Milliseconds,
  ModelName,
  VersionDigest,
} from '@hibiscusbeam/core';
import type {Result} from 'ts-results';

/**
 * Failure of a call to a target. After `unreachable` and `refused` the target
 * has started nothing; after the others it may have.
 */
export type TargetError =
  | {readonly kind: 'unreachable'; readonly detail: string}
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly error: string;
      readonly detail: string;
    }
  | {readonly kind: 'cut'; readonly detail: string}
  | {readonly kind: 'malformed'; readonly detail: string};

/** A call's result, or the target's error. */
export type TargetReply<Value> = Promise<Result<Value, TargetError>>;

/** State reported by a model engine, `ageMilliseconds` old. */
export interface EngineReport {
  readonly life: string;
  readonly loaded: readonly {
    readonly model: ModelName;
    readonly versionDigest: VersionDigest;
  }[];
  readonly loading: readonly VersionDigest[];
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly ageMilliseconds: Milliseconds;
}

/**
 * An order to a model engine. Idempotent, since it names the complete wanted
 * state.
 */
export type EngineOrder =
  | {
      readonly kind: 'load';
      readonly versionDigest: VersionDigest;
      readonly manifest: Manifest;
    }
  | {readonly kind: 'unload'; readonly versionDigest: VersionDigest};

/** A change of the engine's prompt cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: number;
}

/** A generation to run on a model engine. */
export interface GenerateWork {
  readonly attempt: AttemptId;
  readonly model: ModelName;
  readonly versionDigest: VersionDigest | undefined;
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly priority: number;
}

/** One line of a model engine's answer. */
export type EngineFrame =
  | {
      readonly kind: 'started';
      readonly attempt: AttemptId;
      readonly versionDigest: VersionDigest;
    }
  | {
      readonly kind: 'token';
      readonly attempt: AttemptId;
      readonly sequence: number;
      readonly text: string;
    }
  | {
      readonly kind: 'end';
      readonly attempt: AttemptId;
      readonly count: number;
      readonly versionDigest: VersionDigest;
    };

/** An agent's client of its model engine. */
export interface EngineClient {
  /** Sends the pieces one after the other without concatenating them. */
  readonly putChunk: (
    digest: Digest,
    pieces: readonly Uint8Array[],
  ) => TargetReply<void>;
  readonly listChunks: () => TargetReply<readonly Digest[]>;
  readonly readChunk: (digest: Digest) => TargetReply<Uint8Array>;
  readonly deleteChunk: (digest: Digest) => TargetReply<void>;
  readonly order: (order: EngineOrder, fencing: number) => TargetReply<void>;
  readonly report: () => TargetReply<EngineReport>;
  readonly cacheEvents: (after: number) => TargetReply<{
    readonly events: readonly CacheEvent[];
    readonly latest: number;
  }>;
  /**
   * Yields frames as they arrive; ends after the end frame or the first error.
   */
  readonly generate: (
    work: GenerateWork,
    signal: AbortSignal,
  ) => AsyncIterable<Result<EngineFrame, TargetError>>;
  readonly cancel: (attempt: AttemptId) => TargetReply<void>;
  readonly close: () => Promise<void>;
}

/** A plain service's answer and the attempt it belongs to. */
export interface PlainServiceAnswer {
  readonly attempt: AttemptId;
  /** JSON text of the result. */
  readonly content: Uint8Array;
}

/** An agent's client of its plain service. */
export interface PlainServiceClient {
  /**
   * Runs one call; `content` is the JSON text of the request's body. The answer
   * may belong to another attempt, so the caller must compare the ids.
   */
  readonly call: (
    attempt: AttemptId,
    operation: string,
    content: Uint8Array,
    signal: AbortSignal,
  ) => TargetReply<PlainServiceAnswer>;
  readonly reachable: () => Promise<boolean>;
  readonly close: () => Promise<void>;
}
