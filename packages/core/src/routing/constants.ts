import type {Milliseconds} from '../types';

/** Characters of a prompt that decide which targets are its first choice. */
export const PREFIX_CHARACTERS = 256;

/** A target takes at most this multiple of the mean load of its peers. */
export const LOAD_BOUND_FACTOR = 1.25;

/** The multiple where the bound above would leave callers waiting. */
export const SATURATED_BOUND_FACTOR = 1.1;

/** Above this load per slot the tighter of the two bounds holds. */
export const FREE_LOAD = 1;

/** Below this share of its slots a target is never over the bound. */
export const LOAD_BOUND_FLOOR = 0.25;

/** Age at which half of a report's difference from the mean is forgotten. */
export const HALF_TRUST_REPORT_AGE: Milliseconds = 4_000;

/** Growth of others' load is never assumed beyond this, either way. */
export const MAX_GROWTH = 4;

/** Added to both sides of a growth ratio, so that small counts say little. */
export const GROWTH_PRIOR = 4;

/** Cost of a target in another zone, as time. */
export const OTHER_ZONE_COST: Milliseconds = 4;

/** Extra wait that the first choice may have before the second is taken. */
export const AFFINITY_BONUS: Milliseconds = 100;

/** Weight of a new sample in a target's moving averages. */
export const SAMPLE_WEIGHT = 0.1;

/** Until the first answer ends, how long a request is taken to hold a slot. */
export const INITIAL_SERVICE_TIME: Milliseconds = 10_000;

/** Until measured, the time from dispatch to the first token without a wait. */
export const INITIAL_FIRST_TOKEN_TIME: Milliseconds = 300;

/** Until measured, the time between tokens. */
export const INITIAL_TOKEN_TIME: Milliseconds = 40;

/** Failures in a row after which a target is ejected. */
export const FAILURES_TO_EJECT = 3;

/** Samples before a target's latency is compared with its peers'. */
export const SAMPLES_TO_COMPARE = 8;

/** A target is slow from this multiple of its peers' median. */
export const SLOW_FACTOR = 3;

/**
 * And only from so much above the median: how tokens are bunched on their way
 * alone gave means of 0.4 and 2.8 ms for two equal engines with 2 ms tokens.
 */
export const SLOW_MARGIN: Milliseconds = 10;

/** A stream that is silent for so long, and for so many token times, stalls. */
export const STALL_TIME: Milliseconds = 600;
export const STALL_TOKEN_TIMES = 12;

/** A first token that is later than this and than its multiple stalls. */
export const FIRST_TOKEN_STALL_TIME: Milliseconds = 900;
export const FIRST_TOKEN_STALL_FACTOR = 3;

/** At most this share of the targets is ejected at a time. */
export const MAX_EJECTED_SHARE = 0.5;

/** First ejection; each one that follows without recovery is twice as long. */
export const MIN_EJECTION_TIME: Milliseconds = 5_000;
export const MAX_EJECTION_TIME: Milliseconds = 60_000;

/** Good probes in a row that bring a target back. */
export const PROBES_TO_RECOVER = 2;

/** Targets listed in a dump. */
export const MAX_DUMPED_TARGETS = 100;

/** When to ask again if no target serves the work; about one heartbeat. */
export const NO_TARGET_RETRY_AFTER: Milliseconds = 1_000;

/** Retries that each first try earns. */
export const RETRY_SHARE = 0.1;

/** Most retries saved up; covers what one entry has at one lost target. */
export const RETRY_RESERVE = 10;

/** Most requests waiting at an entry, over all workspaces. */
export const MAX_QUEUED_REQUESTS = 256;

/** Of so many dispatches one goes to any priority, so that none starves. */
export const DISPATCHES_PER_ANY_PRIORITY = 10;

/** Share of first tokens that should come by the time that admission says. */
export const ADMISSION_QUANTILE = 0.95;

/** Step of the measured margin for each first token. */
export const ADMISSION_MARGIN_STEP: Milliseconds = 20;

/** The margin never takes more than this share of the time allowed. */
export const MAX_MARGIN_SHARE = 0.6;

/** Bounds of the time after which a refused caller is asked to come back. */
export const MIN_RETRY_AFTER: Milliseconds = 250;
export const MAX_RETRY_AFTER: Milliseconds = 30_000;

/** Targets that an entry holds at 390 entries and 600 engines. */
export const SUBSET_SIZE = 30;

/** An entry holds at most this multiple of the mean. */
export const SUBSET_SLACK = 1.25;

/** Fewest entries that hold a target, so that losing some strands none. */
export const MIN_ENTRIES_PER_TARGET = 4;

/** Fewest targets of a model or service that an entry holds, if there are. */
export const MIN_TARGETS_PER_SERVICE = 4;

/** Share of a target's entries that is picked in its own zone first. */
export const SAME_ZONE_SHARE = 0.6;

/** Most that a published use grows or shrinks from one heartbeat to the next. */
export const USE_CHANGE_PER_HEARTBEAT = 1.15;

/** Heartbeats after which more than the last use heard is assumed. */
export const STALE_HEARTBEATS = 2;

/** Bound on the sum of all entries' shares, as a multiple of the limit. */
export const SHARE_SUM_BOUND =
  USE_CHANGE_PER_HEARTBEAT ** (STALE_HEARTBEATS + 1);

/** Least use of an entry, as a share of the limit: small beside 1/390. */
export const MIN_USE_SHARE = 0.001;

/** Share of a workspace's limit that is split evenly, whatever the use. */
export const EVEN_SHARE = 0.1;

/** Seconds of its share that an entry may spend at once. */
export const LIMIT_BURST_SECONDS = 1;

/** Requests that an entry may let pass at once, however small its share. */
export const MIN_LIMIT_BURST = 4;

/** A workspace sends over its share from this multiple of the others' rate. */
export const OVER_SHARE_FACTOR = 2.5;

/** Workspaces over their share leave this part of a target's slots free. */
export const RESERVED_SLOT_SHARE = 0.15;

/** A first token later than expected by this shows a queue at its target. */
export const MIN_OBSERVED_WAIT: Milliseconds = 150;

/** Load per slot up to which a waiting request is moved to a target. */
export const IDLE_LOAD = 0.95;

/** Wait for a first token after which a request may be moved. */
export const MOVE_TIMEOUT: Milliseconds = 700;

/** Retries that moves leave in the budget, for targets that fail. */
export const MOVE_RESERVE = 5;

/** Longest wait for a slot at a target; the rest waits at the entry. */
export const MAX_TARGET_WAIT: Milliseconds = 600;

/** A request that has waited so long at the entry is sent out anyway. */
export const MAX_ENTRY_WAIT: Milliseconds = 500;
