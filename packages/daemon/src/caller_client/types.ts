import type {
  Milliseconds,
  NotRunReason,
  VersionDigest,
  ZoneName,
} from '@hibiscusbeam/core';

/** The final outcome of a request. */
export type CallerOutcome<Answer> =
  | {readonly kind: 'answered'; readonly answer: Answer}
  /** The request did not run. It may be retried after `retryAfter`. */
  | {
      readonly kind: 'notRun';
      readonly reason: NotRunReason | 'unreachable';
      readonly retryAfter: Milliseconds;
    }
  /**
   * The request may have run. A call with an idempotency key may be retried
   * with the same key.
   */
  | {readonly kind: 'outcomeUnknown'; readonly detail: string}
  /** The request is invalid; a retry would be rejected as well. */
  | {
      readonly kind: 'rejected';
      readonly status: number;
      readonly error: string;
      readonly detail: string;
    };

/** A complete answer of a model. */
export interface GeneratedAnswer {
  readonly text: string;
  readonly versionDigest: VersionDigest;
  readonly tokenCount: number;
}

/** A request for an answer of a model. */
export interface GenerateCall {
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  /** A request whose first token is expected later is refused at once. */
  readonly firstTokenWithin?: Milliseconds;
  /** Time for the whole request, including waits and retries. */
  readonly deadline: Milliseconds;
  /** Receives each token; the answer is complete only at the end. */
  readonly onToken?: (text: string) => void;
}

/** A call of a plain service's operation. */
export interface ServiceCall {
  readonly service: string;
  readonly operation: string;
  /** Sent as JSON. */
  readonly body: unknown;
  /**
   * Identifies this call permanently. Without it, a call that may have run is
   * never retried.
   */
  readonly idempotencyKey?: string;
  /** Time for the whole call, including waits and retries. */
  readonly deadline: Milliseconds;
}

/** Options of `createCallerClient`. */
export interface CallerClientOptions {
  /** Addresses (`IP:port`) of the entries to query first. */
  readonly entries: readonly string[];
  readonly workspaceKey: string;
  /** The caller's own availability zone, whose entries are preferred. */
  readonly zone?: ZoneName;
  /** Maximum number of attempts per request; default 5. */
  readonly maximumSends?: number;
  /** Monotonic clock in milliseconds; for tests. */
  readonly now?: () => Milliseconds;
  /** Waits for a duration; for tests. */
  readonly wait?: (duration: Milliseconds) => Promise<void>;
  /** Number from 0 up to 1 that spreads callers over entries; for tests. */
  readonly random?: () => number;
}

/** Client for callers of hibiscusbeam. */
export interface CallerClient {
  readonly generate: (
    call: GenerateCall,
  ) => Promise<CallerOutcome<GeneratedAnswer>>;
  /** Calls an operation; the answer is its JSON result. */
  readonly call: (call: ServiceCall) => Promise<CallerOutcome<unknown>>;
  /** Address of the entry that the next request goes to. */
  readonly entry: () => Promise<string>;
  readonly close: () => Promise<void>;
}
