/** Max chunks in one manifest; a have-map then takes at most 8 KiB. */
export const MAX_CHUNKS = 65_536;

/**
 * Max chunk size; a chunk is kept in memory as a whole until it is verified.
 */
export const MAX_CHUNK_BYTES = 256 * 1024 * 1024;

/** Max version size; a manifest with larger sizes is certainly wrong. */
export const MAX_VERSION_BYTES = 4 * 1024 ** 4;

/**
 * Default max concurrent downloads; enough to keep a link busy while senders
 * queue.
 */
export const DOWNLOAD_SLOTS = 8;

/**
 * Default max concurrent uploads; low, so that the first copies of a chunk
 * complete early.
 */
export const UPLOAD_SLOTS = 4;

/**
 * Max uploads that wait for a slot. With eight, all members of a zone queue at
 * the one member that has a new chunk, and the first ones to get it have nobody
 * left to send it to: the chunk spreads in 13 sequential transfers instead of
 * four doublings. With four, the last of 41 engines has a version after 4.7 s
 * instead of 5.0 s. With two it takes 4.5 s, but an agent gets 168 refusals
 * instead of 39 (simulated, at the full link rate).
 */
export const MAX_WAITING_UPLOADS = 4;

/**
 * Max concurrent downloads from the origin: one in transfer and one already
 * requested.
 */
export const ORIGIN_SLOTS = 2;

/**
 * Default number of neighbours that a node picks in its own zone and in other
 * zones. Two nodes are neighbours if either one picks the other, so a node has
 * on average between one and two times as many neighbours.
 */
export const OWN_ZONE_PICKS = 8;
export const CROSS_ZONE_PICKS = 2;

/**
 * Max neighbours of a node per version. It bounds the neighbours that members
 * with a different member list add.
 */
export const MAX_NEIGHBOURS = 40;

/**
 * Default max members of a zone that copy a chunk from another zone at once.
 */
export const CROSS_ZONE_RANKS = 2;

/**
 * Max versions per neighbour whose have-maps are kept before this node wants
 * them.
 */
export const MAX_UNKNOWN_VERSIONS = 4;

/**
 * Bad chunks after which a sender is cut off; a single one may be a link error.
 */
export const BAD_CHUNKS_UNTIL_CUT_OFF = 2;

/**
 * Takeover timeout, after which the next rank requests an overdue chunk: the
 * value before any chunk time is known and the limits.
 */
export const INITIAL_TAKEOVER_TIMEOUT_MS = 3_000;
export const MIN_TAKEOVER_TIMEOUT_MS = 500;
export const MAX_TAKEOVER_TIMEOUT_MS = 60_000;

/**
 * Time without progress after which a transfer counts as stalled: the initial
 * value and the limits.
 */
export const INITIAL_STALL_TIMEOUT_MS = 3_000;
export const MIN_STALL_TIMEOUT_MS = 1_000;
export const MAX_STALL_TIMEOUT_MS = 30_000;
export const MAX_ORIGIN_STALL_TIMEOUT_MS = 120_000;

/**
 * Default time to wait for the neighbours' first have-maps before requesting
 * chunks from the origin.
 */
export const SETTLE_TIME_MS = 300;

/**
 * Backoff after a failed request; it doubles with each failure up to the
 * maximum.
 */
export const INITIAL_BACKOFF_MS = 100;
export const MAX_BACKOFF_MS = 5_000;

/** Max time that a gained chunk waits to be announced together with others. */
export const MAX_ANNOUNCE_DELAY_MS = 250;
