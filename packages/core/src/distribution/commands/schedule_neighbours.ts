import * as bounds from '../bounds';
import {
  availableSlots,
  wakeAt,
  type Neighbour,
  type SwarmState,
  type WantedVersion,
} from '../state';
import {fitsTransferBuffer, isHeldOrInFlight} from './schedule_limits';
import {startTransfer} from './transfers';

interface ChunkChoice {
  readonly position: number;
  readonly sender: Neighbour;
}

/** Requests the locally rarest chunks from neighbours while slots are free. */
export function scheduleNeighbours(
  state: SwarmState,
  version: WantedVersion,
): void {
  const slots = availableSlots(
    state,
    state.options.downloadSlots ?? bounds.DOWNLOAD_SLOTS,
  );
  let free = slots - neighbourTransfers(state);
  while (free > 0) {
    const choice = chooseRarest(state, version, freeNeighbours(state, version));
    if (choice === undefined) return;
    const chunk = version.manifest.chunks[choice.position]!;
    if (!fitsTransferBuffer(state, chunk.size)) return;
    startTransfer(state, chunk.digest, chunk.size, {
      kind: 'neighbour',
      instance: choice.sender.instance,
    });
    free -= 1;
  }
}

/**
 * Reachable neighbours without a current download; each serves one at a time.
 */
function freeNeighbours(
  state: SwarmState,
  version: WantedVersion,
): readonly Neighbour[] {
  const free: Neighbour[] = [];
  for (const instance of version.neighbours) {
    const neighbour = state.neighbours.get(instance);
    if (neighbour === undefined || neighbour.transfer !== undefined) continue;
    if (neighbour.suspendedUntil !== undefined) continue;
    if (neighbour.busyUntil > state.now) {
      wakeAt(state, neighbour.busyUntil);
      continue;
    }
    free.push(neighbour);
  }
  return free;
}

function chooseRarest(
  state: SwarmState,
  version: WantedVersion,
  free: readonly Neighbour[],
): ChunkChoice | undefined {
  if (free.length === 0) return undefined;
  let best: ChunkChoice | undefined;
  let bestCount = Infinity;
  let bestTie = Infinity;
  for (const position of version.missing) {
    const count = version.availability[position]!;
    const tie = version.tieBreak[position]!;
    if (count === 0 || count > bestCount) continue;
    if (count === bestCount && tie >= bestTie) continue;
    const digest = version.manifest.chunks[position]!.digest;
    if (isHeldOrInFlight(state, digest)) continue;
    const sender = chooseSender(state, version, position, free);
    if (sender === undefined) continue;
    best = {position, sender};
    bestCount = count;
    bestTie = tie;
  }
  return best;
}

/**
 * Chooses the free holder that was least recently sent a request, which spreads
 * the load. A holder in another zone is chosen only if this zone has none, free
 * or busy, and this node's rank allows it.
 */
function chooseSender(
  state: SwarmState,
  version: WantedVersion,
  position: number,
  free: readonly Neighbour[],
): Neighbour | undefined {
  let best: Neighbour | undefined;
  let bestRequestedAt = Infinity;
  let bestIsOwnZone = false;
  for (const neighbour of free) {
    const have = version.haves.get(neighbour.instance);
    if (have === undefined || !have.has(position)) continue;
    const isOwnZone = isInOwnZone(state, neighbour.instance);
    if (bestIsOwnZone && !isOwnZone) continue;
    const isBetterZone = isOwnZone && !bestIsOwnZone;
    if (!isBetterZone && neighbour.lastRequestedAt >= bestRequestedAt) continue;
    best = neighbour;
    bestRequestedAt = neighbour.lastRequestedAt;
    bestIsOwnZone = isOwnZone;
  }
  if (best === undefined || bestIsOwnZone) return best;
  return mayCrossZones(state, version, position) ? best : undefined;
}

/**
 * Whether this node may copy a chunk from another zone. Without this limit each
 * member of a zone would do so, and the link between the zones would carry many
 * copies.
 */
function mayCrossZones(
  state: SwarmState,
  version: WantedVersion,
  position: number,
): boolean {
  for (const [instance, have] of version.haves) {
    if (!have.has(position) || !isInOwnZone(state, instance)) continue;
    if (state.neighbours.get(instance)?.suspendedUntil === undefined) {
      return false;
    }
  }
  const ranks = state.options.crossZoneRanks ?? bounds.CROSS_ZONE_RANKS;
  const ranksToWait = version.zoneRank[position]! - ranks + 1;
  if (ranksToWait <= 0) return true;
  const wait = ranksToWait * state.neighbourTime.bound();
  const at = version.firstSeen[position]! + wait;
  if (at > state.now) wakeAt(state, at);
  return at <= state.now;
}

function isInOwnZone(state: SwarmState, instance: string): boolean {
  return state.zones.get(instance) === state.options.zone;
}

function neighbourTransfers(state: SwarmState): number {
  let count = 0;
  for (const transfer of state.transfers.values()) {
    if (transfer.sender.kind === 'neighbour' && !transfer.stalled) count += 1;
  }
  return count;
}
