/** The brief's figure for a first token. */
export const FIRST_TOKEN_GOAL = 1_900;

/** Callers give up on the whole answer after this. */
export const DEADLINE = 60_000;

/** Heartbeats, and with them load reports. */
export const HEARTBEAT = 500;

/** One way between two processes of a zone. */
export const NEAR_DELAY = 0.5;
/** One way across zones. */
export const FAR_DELAY = 1;

/** Until membership tells the entries that a target is gone. */
export const GONE_DETECTION = 2_000;
