import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock, Log, SwarmDriver} from '@hibiscusbeam/daemon';
import type {EngineControl, VersionContent} from '../ports';
import type {StagedChunks} from './staged_chunks';
import type {FetchedVersion} from './wanted_version';

/** Pause before an order is given again. */
const ORDER_RETRY_DELAY: Milliseconds = 300;

/** What giving orders needs. */
export interface EngineOrdersOptions {
  readonly engine: EngineControl;
  readonly staged: StagedChunks;
  readonly swarm: SwarmDriver;
  readonly clock: Clock;
  readonly log: Log;
}

/** Gives the engine its orders, one at a time. */
export interface EngineOrders {
  /** Orders the engine to load a version, unless one was ordered just now. */
  readonly orderLoad: (version: FetchedVersion) => Promise<void>;
  /** Notes that the engine has answered what was asked at `askedAt`. */
  readonly recordAnswer: (requestedAt: MonotonicInstant) => void;
  /** Forgets what was ordered of the engine's former life. */
  readonly reset: () => void;
}

/** Creates the giver of orders. */
export function createEngineOrders(options: EngineOrdersOptions): EngineOrders {
  const {engine, staged, swarm, clock, log} = options;
  let orderedAt: MonotonicInstant = -Infinity;
  let ordering = false;
  /** When an order ran out of its wait that the engine may accept yet. */
  let unansweredAt: MonotonicInstant | undefined;
  /** When the engine first answered something after that. */
  let answersSince: MonotonicInstant | undefined;

  async function orderLoad({
    content,
    identified,
  }: FetchedVersion): Promise<void> {
    if (ordering || unansweredAt !== undefined) return;
    if (clock() - orderedAt < ORDER_RETRY_DELAY) return;
    ordering = true;
    // Failure: staged bytes turn bad between their arrival and the order, and
    // the engine makes tokens with them. So they are read right before it.
    const reply = await staged.withVerified(content, () => load(content));
    ordering = false;
    orderedAt = clock();
    const {model, version} = content;
    if (reply === undefined) {
      log.warn('staged chunks are not whole; fetches them again', {
        model,
        version,
      });
      await swarm.refreshHeld();
      return;
    }
    if (reply.ok) staged.forget(content);
    log.info('ordered to load', {
      model,
      version,
      versionDigest: identified.versionDigest,
      reply: reply.val,
    });
  }

  async function load(content: VersionContent) {
    const reply = await engine.load(content.model, content.version);
    if (reply.err && reply.val.kind === 'unreachable') {
      unansweredAt = clock();
      answersSince = undefined;
      staged.hold(content);
    }
    return reply;
  }

  function endWait(): void {
    if (unansweredAt === undefined) return;
    unansweredAt = undefined;
    staged.release();
  }

  return {
    orderLoad,
    recordAnswer: requestedAt => {
      if (requestedAt <= (unansweredAt ?? Infinity)) return;
      answersSince ??= clock();
      // What waited on another connection may be read after the first answer.
      if (requestedAt > answersSince) endWait();
    },
    reset: () => {
      orderedAt = -Infinity;
      endWait();
    },
  };
}
