import type {ListedTarget, Milliseconds, ModelName} from '@hibiscusbeam/core';

/** Raw headers: alternating names and values, in the order received. */
export type HeaderLines = readonly string[];

/** Decoded headers of a caller's request. */
export interface CallerHeader {
  readonly requestId: string | undefined;
  readonly host: string;
  readonly key: string | undefined;
  /** How long the caller waits for the answer. */
  readonly patience: Milliseconds | undefined;
  readonly model: ModelName | undefined;
  readonly promptTokens: number | undefined;
  /** Ids of the parts of the prompt, in order; requests may share parts. */
  readonly promptParts: readonly string[];
  readonly mostOutputTokens: number | undefined;
  /** The caller's estimate of the answer's length. */
  readonly expectedOutputTokens: number | undefined;
  /** The event after which a stream resumes. */
  readonly resumeAfter: string | undefined;
}

/** Values sent to a target in addition to the caller's headers. */
export interface TargetHeader {
  readonly target: ListedTarget;
  readonly workspace: string | undefined;
  readonly patience: Milliseconds;
  /** 0 to 9; 0 is the highest priority. */
  readonly priority: number | undefined;
  /** The only version that may run the request; undefined if any may. */
  readonly version: number | undefined;
  readonly resumeAfter: string | undefined;
}

/** Decoded headers of a target's answer. */
export interface AnswerHeader {
  readonly requestId: string | undefined;
  /** Whether the target confirms that it produced the answer. */
  readonly sealed: boolean;
  /** Whether the target reports that it has not run the request. */
  readonly notRun: boolean;
  /**
   * Whether the address belongs to another instance or serves another version.
   */
  readonly misdirected: boolean;
  /**
   * How long the target wants no more requests from this entry; undefined if it
   * doesn't state it, or has not refused the request.
   */
  readonly backoff: Milliseconds | undefined;
  /** Whether the target reports that it is leaving. */
  readonly leaving: boolean;
  /**
   * Requests per second that the target accepts from all entries together;
   * undefined if it states no limit.
   */
  readonly rateLimit: number | undefined;
}

/** Headers of the host platform's request protocol. */
export interface RequestProtocol {
  readonly readCaller: (lines: HeaderLines) => CallerHeader;
  /**
   * Headers for a target: the caller's, without those not meant for targets.
   */
  readonly writeTarget: (
    lines: HeaderLines,
    header: TargetHeader,
  ) => readonly string[];
  readonly readAnswer: (status: number, lines: HeaderLines) => AnswerHeader;
  /** Headers for the caller: the target's, without those of the connection. */
  readonly writeAnswer: (lines: HeaderLines) => readonly string[];
}

/** A caller's request to a directory. */
export interface DirectoryRequest {
  readonly host: string | undefined;
  readonly zone: string | undefined;
  readonly region: string | undefined;
}

/** A directory's answer. */
export interface DirectoryAnswer {
  readonly addresses: readonly string[];
  readonly keepFor: Milliseconds;
}

/** The host platform's protocol for address look-ups. */
export interface DirectoryProtocol {
  readonly path: string;
  readonly readRequest: (
    query: Readonly<Record<string, string | undefined>>,
  ) => DirectoryRequest;
  readonly writeAnswer: (answer: DirectoryAnswer) => unknown;
  readonly readinessPath: string;
}
