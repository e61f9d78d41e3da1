import {
  isFragment,
  isTooFragmented,
  mayExceedBound,
  selectRequestsToRefuse,
  type Bytes,
  type MonotonicInstant,
} from '@hibiscusbeam/core';
import {every, type Clock} from '@hibiscusbeam/daemon';

/** Interval between checks of requests that are still arriving. */
const CHECK_PERIOD_MS = 100;

/** Period in which the fragments of bodies are counted. */
const FRAGMENTS_PERIOD_MS = 1_000;

/** Why a request is refused before it has arrived. */
export type IncomingRefusal =
  /** All requests together take too much memory. */
  | 'overloaded'
  /** It comes in too many fragments beside others. */
  | 'fragmented'
  /** Its deadline has passed. */
  | 'late'
  /** Its connection is closed for another one. */
  | 'tooManyConnections';

/** A request that is read. */
export interface IncomingRequestOptions {
  /** Memory that it takes without its body. */
  readonly overhead: Bytes;
  /** Until when it has to arrive. */
  readonly deadline: MonotonicInstant;
  /** Called at most once, while the request is arriving. */
  readonly refuse: (reason: IncomingRefusal) => void;
}

/** Tracks one request. */
export interface TrackedRequest {
  /** Records a part of the body, and how much more memory is taken for it. */
  readonly recordPart: (length: Bytes, memory: Bytes) => void;
  /** Records that the request has arrived. */
  readonly complete: () => void;
  /** Releases the memory of the body. */
  readonly releaseBody: () => void;
  /** Ends the tracking. */
  readonly close: () => void;
}

/** Memory of callers' requests, by their state. */
export interface IncomingMemory {
  readonly arriving: Bytes;
  readonly complete: Bytes;
}

/** Limits the memory that callers' requests take. */
export interface IncomingRequests {
  readonly open: (options: IncomingRequestOptions) => TrackedRequest;
  /**
   * Refuses the arriving request without progress for the longest time, to close
   * its connection; false if none is arriving.
   */
  readonly refuseLongestStalled: () => boolean;
  readonly memory: () => IncomingMemory;
}

/** Options of the limit. */
export interface IncomingRequestsOptions {
  /** Maximum memory of all requests together. */
  readonly bound: Bytes;
  readonly clock: Clock;
}

interface Tracked extends IncomingRequestOptions {
  body: Bytes;
  isArriving: boolean;
  progressedAt: MonotonicInstant;
  /** Of the current period. */
  fragments: number;
  fragmentsSince: MonotonicInstant;
}

/**
 * Creates the limit. Without it, callers decide how much memory an entry uses:
 * many large bodies at once end the process with all its requests.
 */
export function createIncomingRequests({
  bound,
  clock,
}: IncomingRequestsOptions): IncomingRequests {
  const tracked = new Set<Tracked>();
  let total: Bytes = 0;
  let arriving = 0;
  let stopChecks: (() => void) | undefined;
  let fragments = 0;
  let fragmentsSince: MonotonicInstant = -Infinity;

  const heldBy = ({overhead, body}: Tracked): Bytes => overhead + body;

  function startArriving(): void {
    arriving += 1;
    // What has arrived is read before a timer's decision: after a stall of the
    // process, the rest of a request may only wait in its socket.
    stopChecks ??= every(CHECK_PERIOD_MS, () => setImmediate(refuseLate));
  }

  function endArriving(request: Tracked): void {
    if (!request.isArriving) return;
    request.isArriving = false;
    arriving -= 1;
    if (arriving > 0) return;
    stopChecks?.();
    stopChecks = undefined;
  }

  function releaseBody(request: Tracked): void {
    total -= request.body;
    request.body = 0;
  }

  function refuse(request: Tracked, reason: IncomingRefusal): void {
    if (!request.isArriving) return;
    endArriving(request);
    releaseBody(request);
    request.refuse(reason);
  }

  function refuseLate(): void {
    const now = clock();
    for (const request of [...tracked]) {
      if (request.deadline <= now) refuse(request, 'late');
    }
  }

  function keepBound(): void {
    if (!mayExceedBound(total, bound)) return;
    const now = clock();
    const requests = [...tracked].map(request => ({
      request,
      held: heldBy(request),
      isArriving: request.isArriving,
      stalledFor: now - request.progressedAt,
    }));
    for (const {request} of selectRequestsToRefuse(requests, bound)) {
      refuse(request, 'overloaded');
    }
  }

  function countFragment(request: Tracked): void {
    const now = request.progressedAt;
    if (now - fragmentsSince >= FRAGMENTS_PERIOD_MS) {
      fragmentsSince = now;
      fragments = 0;
    }
    if (request.fragmentsSince !== fragmentsSince) {
      request.fragmentsSince = fragmentsSince;
      request.fragments = 0;
    }
    fragments += 1;
    request.fragments += 1;
    const ofThisBody = request.fragments;
    if (isTooFragmented({ofThisBody, ofOthers: fragments - ofThisBody})) {
      refuse(request, 'fragmented');
    }
  }

  function open(options: IncomingRequestOptions): TrackedRequest {
    const request: Tracked = {
      ...options,
      body: 0,
      isArriving: true,
      progressedAt: clock(),
      fragments: 0,
      fragmentsSince: -Infinity,
    };
    tracked.add(request);
    total += request.overhead;
    startArriving();
    keepBound();
    return {
      recordPart: (length, memory) => {
        request.progressedAt = clock();
        if (isFragment(length)) countFragment(request);
        if (!request.isArriving || memory === 0) return;
        request.body += memory;
        total += memory;
        keepBound();
      },
      complete: () => endArriving(request),
      releaseBody: () => releaseBody(request),
      close: () => {
        if (!tracked.delete(request)) return;
        endArriving(request);
        total -= heldBy(request);
      },
    };
  }

  function refuseLongestStalled(): boolean {
    let longest: Tracked | undefined;
    for (const request of tracked) {
      if (!request.isArriving) continue;
      longest ??= request;
      if (request.progressedAt < longest.progressedAt) longest = request;
    }
    if (longest === undefined) return false;
    refuse(longest, 'tooManyConnections');
    return true;
  }

  function memory(): IncomingMemory {
    let ofArriving: Bytes = 0;
    for (const request of tracked) {
      if (request.isArriving) ofArriving += heldBy(request);
    }
    return {arriving: ofArriving, complete: total - ofArriving};
  }

  return {open, refuseLongestStalled, memory};
}
