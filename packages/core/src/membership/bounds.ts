import type {Bytes, BytesPerSecond, Milliseconds} from '../types';

// Every period and bound of the membership stands here. Bytes are those of the
// protocol's messages plus MESSAGE_OVERHEAD; test/membership/traffic.test.ts
// encodes the messages and keeps the two stated sizes true.

/** Each side of a session sends a heartbeat so often. */
export const HEARTBEAT_PERIOD: Milliseconds = 1_000;

/** The driver calls `tick` so often. */
export const TICK_PERIOD: Milliseconds = 250;

/**
 * Silence after which an instance gets no new work: two heartbeats lost and a
 * third late. It is out of routing at most one tick later.
 */
export const SUSPECT_AFTER: Milliseconds = 3_000;

/** Silence after which an instance counts as dead; its work is given up. */
export const DEAD_AFTER: Milliseconds = 6_000;

/**
 * A gap between two calls of ours that is longer was a pause of our own, as
 * ticks come four times as often.
 */
export const LOCAL_PAUSE_THRESHOLD: Milliseconds = 1_000;

/** How long an instance must be heard without a gap after its first fall. */
export const INITIAL_HOLD_DOWN: Milliseconds = 2_000;

/** The hold doubles with each fall up to this. */
export const MAX_HOLD_DOWN: Milliseconds = 32_000;

/** Falls are forgotten after so long without one. */
export const FORGET_FLAPS_AFTER: Milliseconds = 120_000;

/**
 * How long one that left or died is remembered after the list dropped it; the
 * list is late by seconds, so that minutes are ample.
 */
export const FORGET_GONE_AFTER: Milliseconds = 600_000;

/** Changes kept for neighbours that ask what changed since. */
export const MAX_LOGGED_CHANGES = 1_024;

/** Entries that hold one target: five may fail before it has none. */
export const HOLDERS_PER_TARGET = 6;

/**
 * Targets that an entry holds of each model or service at least. With four, ten
 * models at 390 entries and 600 engines would cost 28 KB/s.
 */
export const MIN_HELD_PER_GROUP = 3;

/**
 * On a site with at most so many entries and targets of a group, each entry
 * holds them all. From measured slopes that costs an entry 7.5 KB/s and an
 * agent 6.4 KB/s, a third of the budget, and routing sees every target.
 */
export const SMALL_SITE_ENTRIES = 16;
export const SMALL_SITE_TARGETS = 32;

/** Headers of HTTP/2, TCP and IP around one small message, with its ack. */
export const MESSAGE_OVERHEAD: Bytes = 140;

/** An agent's heartbeat: two versions loaded, 16 cached prefixes, one fetch. */
export const AGENT_HEARTBEAT_SIZE: Bytes = 400;

/** An entry's heartbeat to an agent; one to an entry carries use as well. */
export const ENTRY_HEARTBEAT_SIZE: Bytes = 16;

/** What a node of the site may spend on heartbeats. */
export const HEARTBEAT_BUDGET: BytesPerSecond = 26_000;
