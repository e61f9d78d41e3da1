import type {Bytes, BytesPerSecond, Milliseconds} from '../types';

// All periods and limits of the membership. Traffic is calculated from the
// sizes of the protocol's messages plus MESSAGE_OVERHEAD;
// test/membership/held_targets.test.ts encodes the messages and checks the two
// heartbeat sizes.

/** Interval between the heartbeats that each side of a session sends. */
export const HEARTBEAT_PERIOD: Milliseconds = 1_000;

/** Interval between the driver's calls of `tick`. */
export const TICK_PERIOD: Milliseconds = 250;

/**
 * Silence after which an instance gets no new work: two heartbeats lost and a
 * third late. Routing excludes it at most one tick later.
 */
export const SUSPECT_AFTER: Milliseconds = 3_000;

/** Silence after which an instance counts as dead and its work is abandoned. */
export const DEAD_AFTER: Milliseconds = 6_000;

/**
 * A longer gap between two calls is a pause of this process, since ticks are
 * four times as frequent.
 */
export const LOCAL_PAUSE_THRESHOLD: Milliseconds = 1_000;

/** Time for which messages must arrive without a gap after the first flap. */
export const INITIAL_HOLD_DOWN: Milliseconds = 2_000;

/** The hold-down time doubles with each flap up to this limit. */
export const MAX_HOLD_DOWN: Milliseconds = 32_000;

/** Flaps no longer count after this time without another one. */
export const FORGET_FLAPS_AFTER: Milliseconds = 120_000;

/**
 * Time for which an instance that left or died is kept after it was dropped
 * from the platform's list. The list lags by seconds, so minutes are ample.
 */
export const FORGET_GONE_AFTER: Milliseconds = 600_000;

/** Max changes kept for peers that request the changes since a position. */
export const MAX_LOGGED_CHANGES = 1_024;

/**
 * Entries that hold each target; five of them may fail before a target has
 * none.
 */
export const HOLDERS_PER_TARGET = 6;

/**
 * Min targets that an entry holds of each model or service. With four, ten
 * models at 390 entries and 600 engines would cost 28 KB/s.
 */
export const MIN_HELD_PER_GROUP = 3;

/**
 * On a site with at most this many entries, and targets in a group, each entry
 * holds all targets of the group. From measured slopes, that costs an entry 7.5
 * KB/s and an agent 6.4 KB/s, a third of the budget, and routing sees every
 * target.
 */
export const SMALL_SITE_ENTRIES = 16;
export const SMALL_SITE_TARGETS = 32;

/**
 * Size of the HTTP/2, TCP and IP headers of one small message, including its
 * ACK.
 */
export const MESSAGE_OVERHEAD: Bytes = 140;

/**
 * Max size of an agent's heartbeat with two loaded versions, 16 cached prefixes
 * and one download.
 */
export const AGENT_HEARTBEAT_SIZE: Bytes = 400;

/**
 * Max size of an entry's heartbeat to an agent. A heartbeat to another entry
 * also carries usage.
 */
export const ENTRY_HEARTBEAT_SIZE: Bytes = 16;

/** Max traffic that heartbeats may cause per node. */
export const HEARTBEAT_BUDGET: BytesPerSecond = 26_000;
