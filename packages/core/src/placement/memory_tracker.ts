import {
  createRequestSizes,
  hasMemory,
  type MemoryNeed,
  type SizeStatistics,
} from '../memory';
import type {Milliseconds, MonotonicInstant, ServiceName} from '../types';
import {turnPosition, type SlotShare} from './allowance';
import type {EngineLoad, ListedTarget, PlacementRequest} from './types';

/**
 * Maximum age of a report when it is used; sends within this time before it may
 * be missing from it.
 */
const MAX_REPORT_DELAY: Milliseconds = 300;

/** Maximum time that requests in an old report keep running. */
const MAX_REPORTED_RUN: Milliseconds = 10_000;

/** This entry's requests at an engine, for its memory. */
export interface OwnMemoryUse {
  readonly sends: Set<SentTokens>;
}

interface SentTokens {
  readonly tokens: number;
  readonly at: MonotonicInstant;
}

/** Data about a target that is needed to evaluate its memory. */
export interface MemoryTarget {
  readonly target: ListedTarget;
  readonly report: EngineLoad | undefined;
  readonly reportedAt: MonotonicInstant;
  readonly memory: OwnMemoryUse;
}

/** Evaluates the memory of engines from this entry's sends and from reports. */
export interface MemoryTracker {
  /** Records a send at a target; the returned function records its end. */
  readonly begin: (
    record: MemoryTarget,
    need: MemoryNeed | undefined,
    now: MonotonicInstant,
  ) => () => void;
  /**
   * Whether a target has memory for a request; true if its profile sets no
   * limit.
   */
  readonly hasRoom: (
    record: MemoryTarget,
    request: PlacementRequest,
    slotShare: SlotShare,
    senders: number,
    isReported: boolean,
  ) => boolean;
}

/** Creates the memory use for an incarnation of a target. */
export function createOwnMemoryUse(): OwnMemoryUse {
  return {sends: new Set()};
}

/** Creates the tracker; it learns the request sizes of each service. */
export function createMemoryTracker(): MemoryTracker {
  const sizes = createRequestSizes();
  const outputs = createRequestSizes();

  function statisticsOr(
    observed: SizeStatistics | undefined,
    size: number,
  ): SizeStatistics {
    return observed ?? {mean: size, deviation: size / 2};
  }

  function sizesOf(service: ServiceName, need: MemoryNeed) {
    return {
      sizes: statisticsOr(sizes.seen(service), need.tokens),
      outputs: statisticsOr(outputs.seen(service), need.output),
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
    hasRoom: (record, request, slotShare, senders, isReported) => {
      if (request.memory === undefined) return true;
      const {target, report, reportedAt, memory} = record;
      const isUsable = request.now - reportedAt < MAX_REPORTED_RUN;
      const all = [...memory.sends];
      const started = all.filter(({at}) => at >= reportedAt);
      const unreported = all.filter(
        ({at}) => at > reportedAt - MAX_REPORT_DELAY,
      );
      const engine = {
        slots: target.slots,
        report: report && isUsable ? reportedMemory(report) : undefined,
        isReported,
        ownUnreported: report && isUsable ? tokensOf(unreported) : 0,
        ownStarts: started.length,
        ownTokens: tokensOf(all),
        ...sizesOf(request.service, request.memory),
      };
      return hasMemory(engine, request.memory, {
        senders,
        isNear: slotShare.isNear,
        before: report === undefined ? 0 : turnPosition(slotShare, report),
      });
    },
  };
}

function reportedMemory({memoryShare, running, waiting, sequence}: EngineLoad) {
  return {share: memoryShare, running, waiting, sequence};
}

function tokensOf(sends: readonly SentTokens[]): number {
  return sends.reduce((total, {tokens}) => total + tokens, 0);
}
