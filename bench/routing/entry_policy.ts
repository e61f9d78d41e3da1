import type {LoadReport} from '@hibiscusbeam/core';
import type {FakeClock} from './fake_clock';
import type {LoadRequest} from './load';

/** An attempt as seen by its entry. */
export interface EntryAttempt {
  readonly attempt: string;
  readonly request: LoadRequest;
  readonly target: string;
  /** Attempts of the request so far, including this one. */
  readonly tries: number;
}

/** The operations available to every policy. */
export interface EntryPort {
  readonly entry: string;
  readonly zone: string;
  readonly clock: FakeClock;
  readonly random: () => number;
  readonly targets: readonly string[];
  /** Sends a request; `alreadyProduced` tokens are not generated again. */
  readonly send: (
    request: LoadRequest,
    target: string,
    alreadyProduced: number,
  ) => string;
  readonly cancel: (attempt: string) => void;
  /** Refuses a request as not run, to be retried after `retryAfter`. */
  readonly refuse: (request: LoadRequest, retryAfter: number) => void;
  /** Number of tokens that the caller has received. */
  readonly produced: (request: LoadRequest) => number;
}

/** The routing policy of one entry. */
export interface EntryPolicy {
  readonly onRequest: (request: LoadRequest) => void;
  /** An attempt produced `count` more tokens; `first` marks its first one. */
  readonly onToken: (
    attempt: EntryAttempt,
    count: number,
    first: boolean,
  ) => void;
  /** The attempt ended: it finished, or the caller gave up. */
  readonly onEnd: (attempt: EntryAttempt, finished: boolean) => void;
  /** The connection broke. */
  readonly onFailure: (attempt: EntryAttempt) => void;
  readonly onReport: (report: LoadReport) => void;
  readonly onTargetGone: (target: string) => void;
  readonly onEntryGone: (entry: string) => void;
}
