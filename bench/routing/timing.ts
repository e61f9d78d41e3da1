/** Goal for the time to the first token. */
export const FIRST_TOKEN_GOAL_MS = 1_900;

/** Callers give up on an unfinished answer after this time. */
export const DEADLINE_MS = 60_000;

/** Interval of heartbeats and load reports. */
export const HEARTBEAT_MS = 500;

/** One-way delay between two processes of a zone. */
export const IN_ZONE_DELAY_MS = 0.5;
/** One-way delay across zones. */
export const CROSS_ZONE_DELAY_MS = 1;

/** Time until membership reports a failed target to the entries. */
export const FAILURE_DETECTION_MS = 2_000;
