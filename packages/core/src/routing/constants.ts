import type {Milliseconds} from '../types';

/** Characters of a prompt that determine its preferred targets. */
export const PREFIX_CHARACTERS = 256;

/** Maximum load of a target as a multiple of its peers' mean. */
export const LOAD_BOUND_FACTOR = 1.25;

/** The multiple under high load, where the bound above makes callers wait. */
export const SATURATED_BOUND_FACTOR = 1.1;

/** Load per slot above which the tighter bound applies. */
export const FREE_LOAD = 1;

/** Share of its slots below which a target is never over the bound. */
export const LOAD_BOUND_FLOOR = 0.25;

/** Age at which half of a report's difference from the mean is discarded. */
export const HALF_TRUST_REPORT_AGE: Milliseconds = 4_000;

/** Maximum factor by which others' load is assumed to grow or shrink. */
export const MAX_GROWTH = 4;

/**
 * Added to both counts of a growth ratio, so that small counts have little
 * weight.
 */
export const GROWTH_PRIOR = 4;

/** Cost of a target in another zone, in time. */
export const OTHER_ZONE_COST: Milliseconds = 4;

/**
 * Extra wait that is accepted at the first choice before the second is taken.
 */
export const AFFINITY_BONUS: Milliseconds = 100;

/** Weight of a new sample in a target's moving averages. */
export const SAMPLE_WEIGHT = 0.1;

/** Assumed time that a request holds a slot, until the first one ends. */
export const INITIAL_SERVICE_TIME: Milliseconds = 10_000;

/**
 * Assumed time from dispatch to the first token without a wait, until measured.
 */
export const INITIAL_FIRST_TOKEN_TIME: Milliseconds = 300;

/** Assumed time between tokens, until measured. */
export const INITIAL_TOKEN_TIME: Milliseconds = 40;

/** Consecutive failures after which a target is ejected. */
export const FAILURES_TO_EJECT = 3;

/** Samples required before a target's latency is compared with its peers'. */
export const SAMPLES_TO_COMPARE = 8;

/** A target is slow from this multiple of its peers' median. */
export const SLOW_FACTOR = 3;

/**
 * Minimum difference from the median for a target to be slow. Bunching of
 * tokens in transit alone gave means of 0.4 and 2.8 ms for two equal engines
 * with 2 ms tokens.
 */
export const SLOW_MARGIN: Milliseconds = 10;

/**
 * Minimum silence, in time and in token times, after which a stream is stalled.
 */
export const STALL_TIME: Milliseconds = 600;
export const STALL_TOKEN_TIMES = 12;

/**
 * Minimum delay, in time and as a multiple of the median, after which a first
 * token is stalled.
 */
export const FIRST_TOKEN_STALL_TIME: Milliseconds = 900;
export const FIRST_TOKEN_STALL_FACTOR = 3;

/** Maximum share of the targets that are ejected at the same time. */
export const MAX_EJECTED_SHARE = 0.5;

/**
 * Duration of the first ejection; doubled each time until the target recovers.
 */
export const MIN_EJECTION_TIME: Milliseconds = 5_000;
export const MAX_EJECTION_TIME: Milliseconds = 60_000;

/** Consecutive successful probes that bring a target back. */
export const PROBES_TO_RECOVER = 2;

/** Maximum number of targets in a dump. */
export const MAX_DUMPED_TARGETS = 100;

/** Retry delay if no target serves the work; about one heartbeat. */
export const NO_TARGET_RETRY_AFTER: Milliseconds = 1_000;

/** Retries earned by each first attempt. */
export const RETRY_SHARE = 0.1;

/**
 * Maximum number of saved retries; covers one entry's requests at one lost
 * target.
 */
export const RETRY_RESERVE = 10;

/** Maximum number of requests that wait at an entry, over all workspaces. */
export const MAX_QUEUED_REQUESTS = 256;

/** One in this many dispatches ignores priorities, so that none is starved. */
export const DISPATCHES_PER_ANY_PRIORITY = 10;

/**
 * Share of first tokens that should arrive by the time that admission expects.
 */
export const ADMISSION_QUANTILE = 0.95;

/** Step by which the margin changes with each first token. */
export const ADMISSION_MARGIN_STEP: Milliseconds = 20;

/** Maximum share of the allowed time that the margin takes. */
export const MAX_MARGIN_SHARE = 0.6;

/** Bounds of the retry delay for a refused caller. */
export const MIN_RETRY_AFTER: Milliseconds = 250;
export const MAX_RETRY_AFTER: Milliseconds = 30_000;

/**
 * Targets that an entry connects to, for a site of 390 entries and 600 engines.
 */
export const SUBSET_SIZE = 30;

/** Maximum targets of an entry as a multiple of the mean. */
export const SUBSET_SLACK = 1.25;

/**
 * Minimum number of entries per target, so that a target stays reachable when
 * some are lost.
 */
export const MIN_ENTRIES_PER_TARGET = 4;

/**
 * Minimum number of targets per model or service at an entry, if that many
 * exist.
 */
export const MIN_TARGETS_PER_SERVICE = 4;

/** Share of a target's entries that is picked from its own zone first. */
export const SAME_ZONE_SHARE = 0.6;

/**
 * Maximum factor by which a published use changes from one heartbeat to the
 * next.
 */
export const USE_CHANGE_PER_HEARTBEAT = 1.15;

/** Heartbeats after which growth beyond the last received use is assumed. */
export const STALE_HEARTBEATS = 2;

/** Bound on the sum of all entries' shares, as a multiple of the limit. */
export const SHARE_SUM_BOUND =
  USE_CHANGE_PER_HEARTBEAT ** (STALE_HEARTBEATS + 1);

/**
 * Minimum use of an entry, as a share of the limit; small compared with 1/390.
 */
export const MIN_USE_SHARE = 0.001;

/** Share of a workspace's limit that is split evenly, regardless of use. */
export const EVEN_SHARE = 0.1;

/** Seconds of its share that an entry may spend at once. */
export const LIMIT_BURST_SECONDS = 1;

/** Minimum burst of an entry in requests, however small its share. */
export const MIN_LIMIT_BURST = 4;

/** A workspace sends over its share from this multiple of the others' rate. */
export const OVER_SHARE_FACTOR = 2.5;

/**
 * Share of a target's slots that is reserved for workspaces within their share.
 */
export const RESERVED_SLOT_SHARE = 0.15;

/** Minimum delay of a first token that indicates a queue at its target. */
export const MIN_OBSERVED_WAIT: Milliseconds = 150;

/** Maximum load per slot of a target that a waiting request is moved to. */
export const IDLE_LOAD = 0.95;

/** Wait for a first token after which a request may be moved. */
export const MOVE_TIMEOUT: Milliseconds = 700;

/** Retries that moves leave in the budget for failing targets. */
export const MOVE_RESERVE = 5;

/** Maximum wait for a slot at a target; further requests wait at the entry. */
export const MAX_TARGET_WAIT: Milliseconds = 600;

/** Wait at the entry after which a request is dispatched in any case. */
export const MAX_ENTRY_WAIT: Milliseconds = 500;
