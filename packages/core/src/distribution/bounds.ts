/** Most chunks in one manifest; a have-map then takes at most 8 KiB. */
export const MAX_CHUNKS = 65_536;

/** Largest chunk: it is held whole in memory until it is verified. */
export const MAX_CHUNK_BYTES = 256 * 1024 * 1024;

/** Largest version; above it a manifest's sizes are surely wrong. */
export const MAX_VERSION_BYTES = 4 * 1024 ** 4;

/** Downloads at once; enough to keep a link busy while senders queue. */
export const DOWNLOAD_SLOTS = 8;

/** Uploads at once; few, so that the first copies of a chunk finish early. */
export const UPLOAD_SLOTS = 4;

/**
 * Uploads that may wait for a slot. With eight, all of a zone queue at the one
 * member that has a new chunk, and those that get it first have nobody to give it
 * to: it goes round in 13 times of a chunk and not in four doublings. With four the
 * last of 41 engines has a version after 4.7 s in place of 5.0; with two after 4.5
 * s, but 168 asks of an agent are refused in place of 39 (laboratory, whole link).
 */
export const MAX_WAITING_UPLOADS = 4;

/** Downloads from the origin at once: one being sent, one on its way. */
export const ORIGIN_SLOTS = 2;

/**
 * Picks per node in its own zone and across. An edge exists if either end
 * picks it, so a node has between one and two times as many neighbours.
 */
export const OWN_ZONE_PICKS = 8;
export const CROSS_ZONE_PICKS = 2;

/** Most neighbours, so that other views of the members cannot add more. */
export const MAX_NEIGHBOURS = 40;

/** Members of a zone that may copy a chunk in from another zone at once. */
export const CROSS_ZONE_RANKS = 2;

/** Versions not yet wanted here whose have-maps are kept per neighbour. */
export const MAX_UNKNOWN_VERSIONS = 4;

/** Bad chunks after which a sender is cut off: one may be the link's fault. */
export const BAD_CHUNKS_UNTIL_CUT_OFF = 2;

/** Patience before any chunk time is known, and its limits. */
export const INITIAL_TAKEOVER_TIMEOUT_MS = 3_000;
export const MIN_TAKEOVER_TIMEOUT_MS = 500;
export const MAX_TAKEOVER_TIMEOUT_MS = 60_000;

/** Time without progress that counts as a stall, and its limits. */
export const INITIAL_STALL_TIMEOUT_MS = 3_000;
export const MIN_STALL_TIMEOUT_MS = 1_000;
export const MAX_STALL_TIMEOUT_MS = 30_000;
export const MAX_ORIGIN_STALL_TIMEOUT_MS = 120_000;

/** Wait for the neighbours' first have-maps before the origin is asked. */
export const SETTLE_TIME_MS = 300;

/** Waits after a failed request; doubled each time up to the longest. */
export const INITIAL_BACKOFF_MS = 100;
export const MAX_BACKOFF_MS = 5_000;

/** Longest time that a gained chunk waits to be announced with others. */
export const MAX_ANNOUNCE_DELAY_MS = 250;
