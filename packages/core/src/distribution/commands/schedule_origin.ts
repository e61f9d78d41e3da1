import type {Digest} from '../../types';
import * as bounds from '../bounds';
import {
  availableSlots,
  wakeAt,
  type SwarmState,
  type WantedVersion,
} from '../state';
import {ownerDueAt, scheduledAt} from './availability';
import {takeoverTimeout} from '../queries/takeover_timeout';
import {fitsTransferBuffer, isHeldOrInFlight} from './schedule_limits';
import {startTransfer} from './transfers';

/** Requests the chunks that this node should fetch from the origin. */
export function scheduleOrigin(
  state: SwarmState,
  version: WantedVersion,
): void {
  if (version.missing.length === 0) return;
  const allowedAt = originAllowedAt(state, version);
  if (allowedAt > state.now) {
    wakeAt(state, allowedAt);
    return;
  }
  for (const position of dueNow(state, version)) {
    if (originTransfers(state) >= originSlots(state)) return;
    const chunk = version.manifest.chunks[position]!;
    if (!fitsTransferBuffer(state, chunk.size)) return;
    startTransfer(state, chunk.digest, chunk.size, {kind: 'origin'});
  }
}

function dueNow(state: SwarmState, version: WantedVersion): readonly number[] {
  const due: {readonly position: number; readonly at: number}[] = [];
  for (const position of version.missing) {
    const at = dueAt(state, version, position);
    if (at === Infinity) continue;
    const chunk = version.manifest.chunks[position]!;
    if (isHeldOrInFlight(state, chunk.digest)) continue;
    if (isRequestedFromOrigin(state, chunk.digest)) continue;
    if (at <= state.now) due.push({position, at});
    else wakeAt(state, at);
  }
  due.sort((left, right) => left.at - right.at);
  return due.map(entry => entry.position);
}

/**
 * Time at which this node may request a chunk from the origin. Rank 0 requests
 * it at its scheduled time. A higher rank waits one takeover timeout per rank
 * and then requests the chunk only if no reachable neighbour holds it. A dead
 * fetcher thus costs one timeout, and a live one causes no second copy.
 */
function dueAt(
  state: SwarmState,
  version: WantedVersion,
  position: number,
): number {
  const rank = version.ranks.ownRank[position]!;
  if (version.prefer === 'time' && rank === 1) {
    return scheduledAt(state, version, position) + fullCopyTime(state, version);
  }
  if (version.availability[position]! > 0) return Infinity;
  if (rank === 0) return scheduledAt(state, version, position);
  const base = Math.max(
    ownerDueAt(state, version, position),
    version.unreachableSince[position]!,
    state.takeoverBase,
  );
  return base + rank * takeoverTimeout(state);
}

/**
 * Time that the origin needs to send one complete copy; 0 if its rate is
 * unknown.
 */
function fullCopyTime(state: SwarmState, version: WantedVersion): number {
  const rate = state.originRate;
  if (rate === undefined) return 0;
  let bytes = 0;
  for (const chunk of version.manifest.chunks) bytes += chunk.size;
  return (bytes * 1000) / rate;
}

/**
 * Time from which this node may send requests to the origin. A node that joins
 * late or restarts must first learn what its neighbours hold, or it would fetch
 * its share of the chunks again.
 */
function originAllowedAt(state: SwarmState, version: WantedVersion): number {
  const settled = version.haves.size >= version.neighbours.size;
  const settleTime = state.options.settleTime ?? bounds.SETTLE_TIME_MS;
  const settledAt = settled ? 0 : version.wantedAt + settleTime;
  return Math.max(settledAt, state.originBackoffUntil);
}

/**
 * Max downloads from the origin; one after a failure, when many nodes request
 * overdue chunks.
 */
function originSlots(state: SwarmState): number {
  const isFailing = state.originFailures > 0 || state.originStalls > 0;
  return isFailing ? 1 : availableSlots(state, bounds.ORIGIN_SLOTS);
}

/** Number of downloads from the origin; a stalled one still loads its link. */
function originTransfers(state: SwarmState): number {
  let count = 0;
  for (const transfer of state.transfers.values()) {
    if (transfer.sender.kind === 'origin') count += 1;
  }
  return count;
}

function isRequestedFromOrigin(state: SwarmState, digest: Digest): boolean {
  for (const transfer of state.transfers.values()) {
    const isOrigin = transfer.sender.kind === 'origin';
    if (isOrigin && transfer.digest === digest) return true;
  }
  return false;
}
