/** A duration in milliseconds. */
export type Milliseconds = number;

/** An instant on the process's monotonic clock, in milliseconds. */
export type MonotonicInstant = number;

/** Milliseconds since 1970 on the clock of the machine that reports it. */
export type EpochMilliseconds = number;

/** An amount of data in bytes. */
export type Bytes = number;

/** A rate in bytes per second. */
export type BytesPerSecond = number;
