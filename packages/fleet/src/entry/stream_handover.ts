import {
  createStreamLengths,
  endsInTime,
  timeSavedByMove,
  isWorthMoving,
  type ListedTarget,
  type Milliseconds,
  type MonotonicInstant,
  type PlacementRequest,
  type StreamLengths,
  type RemainingStream,
  type TargetRegistry,
} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';

/** A stream that could continue at another target. */
export interface MovableStream {
  /** What its next slot must provide. */
  readonly need: () => PlacementRequest;
  /** When its first event was forwarded; undefined before. */
  readonly begunAt: () => MonotonicInstant | undefined;
  /** What is left of it; undefined while that is unknown. */
  readonly rest: () => RemainingStream | undefined;
  /** Whether it can currently be moved. */
  readonly mayMove: () => boolean;
  /** Takes one of the retries that the site allows, if one is left. */
  readonly takeMove: () => boolean;
  /** Lets the stream continue at its next target, once that has started. */
  readonly handOver: () => void;
}

/**
 * Moves streams away from targets that are about to load weights, and streams
 * that won't end before their callers' deadline to faster targets.
 */
export interface StreamHandover {
  /**
   * Registers a stream that runs at `target`; the returned function removes it.
   */
  readonly offer: (target: ListedTarget, stream: MovableStream) => () => void;
  /** Lengths of the streams that this entry has forwarded. */
  readonly lengths: StreamLengths;
  /** Looks for streams to move, after something has changed. */
  readonly check: () => void;
}

/** Options of the stream handover. */
export interface StreamHandoverOptions {
  readonly registry: TargetRegistry;
  readonly clock: Clock;
  /** Whether streams that won't end in time are moved. */
  readonly movesLateStreams: boolean;
}

/**
 * Pause before the next stream is moved, so that each sees the slots that the
 * ones before it have taken.
 */
const NEXT_MOVE_DELAY: Milliseconds = 5;

/** Pause before a stream whose move has failed is moved again. */
const MOVE_RETRY_DELAY: Milliseconds = 150;

interface Offer {
  readonly target: ListedTarget;
  readonly stream: MovableStream;
  movedAt: MonotonicInstant;
}

/** Creates the handover; slots are those of `registry`. */
export function createStreamHandover(
  options: StreamHandoverOptions,
): StreamHandover {
  const {registry, clock} = options;
  const offers = new Set<Offer>();
  let timer: NodeJS.Timeout | undefined;

  function check(): void {
    if (timer !== undefined) return;
    const now = clock();
    const candidates = [...offers]
      .filter(offer => isMovable(offer, now))
      .sort((one, other) => gain(other, now) - gain(one, now));
    if (candidates.length === 0) return;
    // Without a free slot or a retry, the next report triggers another check.
    if (!candidates.some(tryToMove)) return;
    timer = setTimeout(() => {
      timer = undefined;
      check();
    }, NEXT_MOVE_DELAY);
  }

  function tryToMove(offer: Offer): boolean {
    const {stream} = offer;
    const need = stream.need();
    const slot = registry.choose(need);
    if (slot.kind !== 'chosen') return false;
    const rest = lateRest(offer);
    const first = registry.forecast(slot.target, need);
    if (rest !== undefined && !endsInTime(rest, first ?? 0)) return false;
    if (!stream.takeMove()) return false;
    // The move may find no slot, or its attempt may fail, and the stream stays
    // at an engine that waits for it. It remains registered until it has left,
    // so that the move is tried again.
    offer.movedAt = clock();
    stream.handOver();
    return true;
  }

  function isMovable(offer: Offer, now: MonotonicInstant): boolean {
    if (now - offer.movedAt < MOVE_RETRY_DELAY) return false;
    if (!offer.stream.mayMove()) return false;
    if (lateRest(offer) !== undefined) return true;
    const isEmptying = registry.isDrainingForLoad(offer.target, now);
    return isEmptying && isWorthMoving(remaining(offer, now));
  }

  function restOf(stream: MovableStream): RemainingStream | undefined {
    return options.movesLateStreams ? stream.rest() : undefined;
  }

  /**
   * What is left of a stream that won't end in time where it runs; undefined
   * for others.
   */
  function lateRest({stream}: Offer): RemainingStream | undefined {
    const rest = restOf(stream);
    return rest && timeSavedByMove(rest) !== undefined ? rest : undefined;
  }

  /** Time that a move saves the caller or the engine's load. */
  function gain(offer: Offer, now: MonotonicInstant): Milliseconds {
    const rest = restOf(offer.stream);
    return (rest && timeSavedByMove(rest)) ?? remaining(offer, now);
  }

  function remaining({stream}: Offer, now: MonotonicInstant): Milliseconds {
    const begunAt = stream.begunAt();
    if (begunAt === undefined) return 0;
    return stream.need().expectedRun - (now - begunAt);
  }

  return {
    offer: (target, stream) => {
      const offer = {target, stream, movedAt: -Infinity};
      offers.add(offer);
      return () => void offers.delete(offer);
    },
    check,
    lengths: createStreamLengths(),
  };
}
