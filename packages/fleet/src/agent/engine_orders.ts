import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock, Log, SwarmDriver} from '@hibiscusbeam/daemon';
import type {EngineControl, VersionContent} from '../ports';
import type {StagedChunks} from './staged_chunks';
import type {FetchedVersion} from './wanted_version';

/** Pause before an order is repeated. */
const ORDER_RETRY_DELAY: Milliseconds = 300;

/** Options of {@link createEngineOrders}. */
export interface EngineOrdersOptions {
  readonly engine: EngineControl;
  readonly staged: StagedChunks;
  readonly swarm: SwarmDriver;
  readonly clock: Clock;
  readonly log: Log;
}

/** Sends load orders to the engine, one at a time. */
export interface EngineOrders {
  /**
   * Orders the engine to load a version, unless an order was sent just before.
   */
  readonly orderLoad: (version: FetchedVersion) => Promise<void>;
  /** Records that the engine has answered a request sent at `requestedAt`. */
  readonly recordAnswer: (requestedAt: MonotonicInstant) => void;
  /** Forgets orders to the engine's previous incarnation. */
  readonly reset: () => void;
}

/** Creates the sender of orders. */
export function createEngineOrders(options: EngineOrdersOptions): EngineOrders {
  const {engine, staged, swarm, clock, log} = options;
  let orderedAt: MonotonicInstant = -Infinity;
  let ordering = false;
  /** When an order timed out that the engine may still accept. */
  let unansweredAt: MonotonicInstant | undefined;
  /** When the engine first answered anything after that. */
  let answersSince: MonotonicInstant | undefined;

  async function orderLoad({
    content,
    identified,
  }: FetchedVersion): Promise<void> {
    if (ordering || unansweredAt !== undefined) return;
    if (clock() - orderedAt < ORDER_RETRY_DELAY) return;
    ordering = true;
    // Staged bytes may become corrupted between their arrival and the order,
    // and the engine would produce tokens with them. So they are verified right
    // before it.
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
      // A request waiting on another connection may still be read after the
      // first answer.
      if (requestedAt > answersSince) endWait();
    },
    reset: () => {
      orderedAt = -Infinity;
      endWait();
    },
  };
}
