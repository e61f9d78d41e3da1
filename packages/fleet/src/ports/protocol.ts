import type {ListedTarget, Milliseconds, ModelName} from '@hibiscusbeam/core';

/** Raw header lines: names and values in turn, as they came. */
export type HeaderLines = readonly string[];

/** What a caller's header says, decoded once. */
export interface CallerHeader {
  readonly requestId: string | undefined;
  readonly host: string;
  readonly key: string | undefined;
  /** How long the caller waits. */
  readonly patience: Milliseconds | undefined;
  readonly model: ModelName | undefined;
  readonly promptTokens: number | undefined;
  readonly mostOutputTokens: number | undefined;
  /** The caller's guess of the answer's length. */
  readonly expectedOutputTokens: number | undefined;
  /** The event after which a stream goes on. */
  readonly resumeAfter: string | undefined;
}

/** What a target must be told besides the caller's own header. */
export interface TargetHeader {
  readonly target: ListedTarget;
  readonly workspace: string | undefined;
  readonly patience: Milliseconds;
  /** 0 to 9; 0 goes first. */
  readonly priority: number | undefined;
  /** The only version that may run it; undefined if any may. */
  readonly version: number | undefined;
  readonly resumeAfter: string | undefined;
}

/** What a target's header says, decoded once. */
export interface AnswerHeader {
  readonly requestId: string | undefined;
  /** Whether the target vouches for the answer. */
  readonly sealed: boolean;
  /** Whether the target says that it has not run the request. */
  readonly notRun: boolean;
  /** Whether another instance, or another version, has the address. */
  readonly misdirected: boolean;
  /**
   * How long the target wants no more requests of this entry; undefined if it
   * doesn't say, or has not turned the request away.
   */
  readonly backoff: Milliseconds | undefined;
  /** Whether the target says that it leaves. */
  readonly leaving: boolean;
  /**
   * Requests a second that the target takes from all entries together;
   * undefined if it names no limit.
   */
  readonly rateLimit: number | undefined;
}

/** The header names of the host platform. */
export interface RequestProtocol {
  readonly readCaller: (lines: HeaderLines) => CallerHeader;
  /** Header lines for a target: the caller's, less what is not its business. */
  readonly writeTarget: (
    lines: HeaderLines,
    header: TargetHeader,
  ) => readonly string[];
  readonly readAnswer: (status: number, lines: HeaderLines) => AnswerHeader;
  /** Header lines for the caller: the target's, less those of the connection. */
  readonly writeAnswer: (lines: HeaderLines) => readonly string[];
}

/** What a caller asks a directory. */
export interface DirectoryRequest {
  readonly host: string | undefined;
  readonly zone: string | undefined;
  readonly region: string | undefined;
}

/** What a directory answers. */
export interface DirectoryAnswer {
  readonly addresses: readonly string[];
  readonly keepFor: Milliseconds;
}

/** The host platform's way to ask for addresses. */
export interface DirectoryProtocol {
  readonly path: string;
  readonly readRequest: (
    query: Readonly<Record<string, string | undefined>>,
  ) => DirectoryRequest;
  readonly writeAnswer: (answer: DirectoryAnswer) => unknown;
  readonly readinessPath: string;
}
