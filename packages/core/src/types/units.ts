/** A duration in milliseconds. */
export type Milliseconds = number;

/** An instant on the process's monotonic clock, in milliseconds. */
export type MonotonicInstant = number;

/** An amount of data in bytes. */
export type Bytes = number;

/** A rate in bytes per second. */
export type BytesPerSecond = number;
