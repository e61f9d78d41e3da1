import {
  createRequestSizes,
  hasMemory,
  type MemoryNeed,
  type SizeStatistics,
} from '../memory';
import type {Milliseconds, MonotonicInstant, ServiceName} from '../types';
import {turnPosition, type SlotShare} from './allowance';
import type {EngineLoad, ListedTarget, PlacementRequest} from './types';

/** Age of a report where it is used, within which sends may not show in it. */
const MAX_REPORT_DELAY: Milliseconds = 300;

/** How long requests run at most that an old report shows. */
const MAX_REPORTED_RUN: Milliseconds = 10_000;

/** Own requests at an engine, for its memory. */
export interface OwnMemoryUse {
  readonly sends: Set<OwnSend>;
}

interface OwnSend {
  readonly tokens: number;
  readonly at: MonotonicInstant;
}

/** What is needed of a target to judge its memory. */
export interface MemoryTarget {
  readonly target: ListedTarget;
  readonly report: EngineLoad | undefined;
  readonly reportedAt: MonotonicInstant;
  readonly memory: OwnMemoryUse;
}

/** Judges the memory of engines, by own sends and by reports. */
export interface MemoryTracker {
  /** Notes a send at a target; the returned function notes its end. */
  readonly begin: (
    entry: MemoryTarget,
    need: MemoryNeed | undefined,
    now: MonotonicInstant,
  ) => () => void;
  /** Whether a target has memory for a request; true if its profile names none. */
  readonly hasRoom: (
    entry: MemoryTarget,
    need: PlacementRequest,
    place: SlotShare,
    senders: number,
    isReported: boolean,
  ) => boolean;
}

/** Creates the own sends of a life of a target. */
export function createOwnMemoryUse(): OwnMemoryUse {
  return {sends: new Set()};
}

/** Creates the judge; it learns how large the requests of each service are. */
export function createMemoryTracker(): MemoryTracker {
  const sizes = createRequestSizes();
  const outputs = createRequestSizes();

  function seenOr(
    seen: SizeStatistics | undefined,
    size: number,
  ): SizeStatistics {
    return seen ?? {mean: size, deviation: size / 2};
  }

  function sizesOf(service: ServiceName, need: MemoryNeed) {
    return {
      sizes: seenOr(sizes.seen(service), need.tokens),
      outputs: seenOr(outputs.seen(service), need.output),
    };
  }

  return {
    begin: ({target, memory}, need, now) => {
      if (need === undefined) return () => undefined;
      sizes.record(target.service, need.tokens);
      outputs.record(target.service, need.output);
      const send = {tokens: need.tokens, at: now};
      memory.sends.add(send);
      return () => void memory.sends.delete(send);
    },
    hasRoom: (entry, need, place, senders, isReported) => {
      if (need.memory === undefined) return true;
      const {target, report, reportedAt, memory} = entry;
      const saysStill = need.now - reportedAt < MAX_REPORTED_RUN;
      const all = [...memory.sends];
      const started = all.filter(({at}) => at >= reportedAt);
      const unseen = all.filter(({at}) => at > reportedAt - MAX_REPORT_DELAY);
      const engine = {
        slots: target.slots,
        report: report && saysStill ? reportedMemory(report) : undefined,
        isReported,
        ownUnreported: report && saysStill ? tokensOf(unseen) : 0,
        ownStarts: started.length,
        ownTokens: tokensOf(all),
        ...sizesOf(need.service, need.memory),
      };
      return hasMemory(engine, need.memory, {
        senders,
        isNear: place.isNear,
        before: report === undefined ? 0 : turnPosition(place, report),
      });
    },
  };
}

function reportedMemory({memoryShare, running, waiting, sequence}: EngineLoad) {
  return {share: memoryShare, running, waiting, sequence};
}

function tokensOf(sends: readonly OwnSend[]): number {
  return sends.reduce((total, {tokens}) => total + tokens, 0);
}
