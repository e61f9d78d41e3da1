/** The brief's figure for a first token. */
export const FIRST_TOKEN_GOAL_MS = 1_900;

/** Callers give up on the whole answer after this. */
export const DEADLINE_MS = 60_000;

/** Heartbeats, and with them load reports. */
export const HEARTBEAT_MS = 500;

/** One way between two processes of a zone. */
export const IN_ZONE_DELAY_MS = 0.5;
/** One way across zones. */
export const CROSS_ZONE_DELAY_MS = 1;

/** Until membership tells the entries that a target is gone. */
export const FAILURE_DETECTION_MS = 2_000;
