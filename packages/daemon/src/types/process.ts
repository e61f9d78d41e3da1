/** A started process of the site. */
export interface RunningProcess {
  /** Stops gracefully: no request in progress is cut. */
  readonly stop: () => Promise<void>;
  /** Resolves once the process has stopped; rejects if it failed. */
  readonly stopped: Promise<void>;
}
