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

/** Share of an entry's memory for the requests that it has or reads. */
const REQUEST_MEMORY_SHARE = 0.2;

/** Share of an entry's memory for headers that are arriving. */
const HEADER_MEMORY_SHARE = 0.04;

/** Memory of an entry if it is not given. */
const DEFAULT_MEMORY_MEGABYTES = 320;

/** Maximum memory of callers' requests, and of headers that are arriving. */
export function incomingMemory({
  memoryMegabytes,
}: Pick<FleetEntrySettings, 'memoryMegabytes'>): {
  readonly requests: Bytes;
  readonly headers: Bytes;
} {
  const memory = (memoryMegabytes ?? DEFAULT_MEMORY_MEGABYTES) * MEGABYTE;
  return {
    requests: memory * REQUEST_MEMORY_SHARE,
    headers: memory * HEADER_MEMORY_SHARE,
  };
}
