import type {
  Milliseconds,
  NotRunReason,
  VersionDigest,
  ZoneName,
} from '@hibiscusbeam/core';

/** What a caller learns in the end; exactly one of these. */
export type CallerOutcome<Answer> =
  | {readonly kind: 'answered'; readonly answer: Answer}
  /** It certainly did not run. Come back after `retryAfter`. */
  | {
      readonly kind: 'notRun';
      readonly reason: NotRunReason | 'unreachable';
      readonly retryAfter: Milliseconds;
    }
  /** It may have run. A call with a key may be asked again with that key. */
  | {readonly kind: 'outcomeUnknown'; readonly detail: string}
  /** The request itself is wrong; asking again gives the same. */
  | {
      readonly kind: 'rejected';
      readonly status: number;
      readonly error: string;
      readonly detail: string;
    };

/** A whole answer of a model. */
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
  /** A request whose first token would come later is refused at once. */
  readonly firstTokenWithin?: Milliseconds;
  /** Time for the whole request, waits and retries included. */
  readonly deadline: Milliseconds;
  /** Sees each token as it comes; the answer is whole only at the end. */
  readonly onToken?: (text: string) => void;
}

/** A call of a plain service's operation. */
export interface ServiceCall {
  readonly service: string;
  readonly operation: string;
  /** Sent as JSON. */
  readonly body: unknown;
  /**
   * Names this call for ever. Without it, a call that may have run is never
   * sent again.
   */
  readonly idempotencyKey?: string;
  /** Time for the whole call, waits and retries included. */
  readonly deadline: Milliseconds;
}

/** Options of `createCallerClient`. */
export interface CallerClientOptions {
  /** Entries to ask first, `IP:port`. */
  readonly entries: readonly string[];
  readonly workspaceKey: string;
  /** The caller's own availability zone: its entries go first. */
  readonly zone?: ZoneName;
  /** Most sends of one request; default 5. */
  readonly maximumSends?: number;
  /** Monotonic milliseconds; for tests. */
  readonly now?: () => Milliseconds;
  /** Pauses; for tests. */
  readonly wait?: (duration: Milliseconds) => Promise<void>;
  /** From 0 up to 1, to spread callers over entries; for tests. */
  readonly random?: () => number;
}

/** A caller's side of hibiscusbeam. */
export interface CallerClient {
  readonly generate: (
    call: GenerateCall,
  ) => Promise<CallerOutcome<GeneratedAnswer>>;
  /** The answer is the operation's JSON result. */
  readonly call: (call: ServiceCall) => Promise<CallerOutcome<unknown>>;
  /** The entry that the next request goes to. */
  readonly entry: () => Promise<string>;
  readonly close: () => Promise<void>;
}
