import type {CallProgress} from '../link/http_calls';

/** Why the host platform's store gave no usable answer. */
export type HostError =
  /** Nothing was done; the store is unavailable or rejects this machine. */
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** Nothing was done; too many calls. */
  | {readonly kind: 'rateLimited'; readonly detail: string}
  /**
   * No answer: the request may have been executed, or may be executed later.
   */
  | {
      readonly kind: 'noAnswer';
      readonly progress: CallProgress;
      readonly detail: string;
    }
  /** Changes since the requested revision are no longer known. */
  | {readonly kind: 'historyLost'; readonly detail: string}
  /** The store refuses the call permanently. */
  | {readonly kind: 'refused'; readonly detail: string}
  | {readonly kind: 'malformed'; readonly detail: string};

/** Why an engine or the origin of weights gave no usable answer. */
export type EngineError =
  | {readonly kind: 'unreachable'; readonly detail: string}
  | {readonly kind: 'notHeld'; readonly detail: string}
  | {readonly kind: 'refused'; readonly detail: string}
  | {readonly kind: 'malformed'; readonly detail: string};
