import type {LoadReport} from '@hibiscusbeam/core';
import type {FakeClock} from './fake_clock';
import type {LoadRequest} from './load';

/** An attempt as an entry knows it. */
export interface EntryAttempt {
  readonly attempt: string;
  readonly request: LoadRequest;
  readonly target: string;
  /** Tries of the request so far, this one included. */
  readonly tries: number;
}

/** What a policy may do; the same for ours and the baselines. */
export interface EntryPort {
  readonly entry: string;
  readonly zone: string;
  readonly clock: FakeClock;
  readonly random: () => number;
  readonly targets: readonly string[];
  /** Sends a request; `alreadyProduced` tokens are not asked for again. */
  readonly send: (
    request: LoadRequest,
    target: string,
    alreadyProduced: number,
  ) => string;
  readonly cancel: (attempt: string) => void;
  /** Gives the caller its final answer: not run, come back later. */
  readonly refuse: (request: LoadRequest, retryAfter: number) => void;
  /** Tokens that the caller has of a request. */
  readonly produced: (request: LoadRequest) => number;
}

/** One entry's policy. */
export interface EntryPolicy {
  readonly onRequest: (request: LoadRequest) => void;
  /** `count` tokens more of an attempt; its first tells `first`. */
  readonly onToken: (
    attempt: EntryAttempt,
    count: number,
    first: boolean,
  ) => void;
  /** The attempt is over: `finished`, or the caller gave up. */
  readonly onEnd: (attempt: EntryAttempt, finished: boolean) => void;
  /** The connection broke. */
  readonly onFailure: (attempt: EntryAttempt) => void;
  readonly onReport: (report: LoadReport) => void;
  readonly onTargetGone: (target: string) => void;
  readonly onEntryGone: (entry: string) => void;
}
