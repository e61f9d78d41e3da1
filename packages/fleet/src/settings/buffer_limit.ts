import type {Bytes} from '@hibiscusbeam/core';
import type {FleetEntrySettings} from './schema';

const MEGABYTE: Bytes = 1_000_000;

/**
 * Share of an entry's memory for buffered bytes. The smallest entries have 250
 * MB, of which the idle program takes 76 MB; the rest is for requests and the
 * heap.
 */
const BUFFER_MEMORY_SHARE = 0.2;

/** Limit if neither the setting nor the memory is given. */
const DEFAULT_MAX_BUFFERED_BYTES: Bytes = 64 * MEGABYTE;

/**
 * Maximum number of bytes that an entry buffers for slow callers and targets.
 */
export function maxBufferedBytes({
  buffers,
  memoryMegabytes,
}: Pick<FleetEntrySettings, 'buffers' | 'memoryMegabytes'>): Bytes {
  if (typeof buffers === 'number') return buffers;
  if (typeof memoryMegabytes !== 'number') return DEFAULT_MAX_BUFFERED_BYTES;
  return memoryMegabytes * MEGABYTE * BUFFER_MEMORY_SHARE;
}
