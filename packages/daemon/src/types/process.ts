/** A started process of the site. */
export interface RunningProcess {
  /** Stops gracefully, without cutting off requests in progress. */
  readonly stop: () => Promise<void>;
  /** Resolves once the process has stopped; rejects if it failed. */
  readonly stopped: Promise<void>;
}
