import {
  unreachable,
  type Milliseconds,
  type MonotonicInstant,
} from '@hibiscusbeam/core';
import type {Clock, Log, SwarmDriver} from '@hibiscusbeam/daemon';
import type {EngineControl, VersionContent} from '../ports';
import type {StagedChunks, StagedState, VerifiedChunks} from './staged_chunks';
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
   * `isDue` is evaluated right before the order is sent.
   */
  readonly orderLoad: (
    version: FetchedVersion,
    isDue: () => boolean,
  ) => Promise<void>;
  /** Records that the engine has answered a request sent at `requestedAt`. */
  readonly recordAnswer: (requestedAt: MonotonicInstant) => void;
  /**
   * Whether what the engine has loaded is known to be intact. Until it is, the
   * engine must get no requests.
   */
  readonly isLoadTrusted: () => boolean;
  /** Forgets orders to the engine's previous incarnation. */
  readonly reset: () => void;
}

/**
 * What is known of the chunks that the engine took with the last order. It may
 * have accepted the order long after they were verified.
 */
type LoadState =
  | {readonly kind: 'trusted'}
  /** Loaded on outdated checks; the staged chunks are to be read again. */
  | {readonly kind: 'unconfirmed'; readonly content: VersionContent}
  /** A staged chunk was found corrupted after the order. */
  | {readonly kind: 'corrupted'};

const TRUSTED: LoadState = {kind: 'trusted'};

/** Creates the sender of orders. */
export function createEngineOrders(options: EngineOrdersOptions): EngineOrders {
  const {engine, staged, swarm, clock, log} = options;
  let orderedAt: MonotonicInstant = -Infinity;
  let ordering = false;
  let loadState: LoadState = TRUSTED;
  let isInspecting = false;
  /** When an order timed out that the engine may still accept. */
  let unansweredAt: MonotonicInstant | undefined;
  /** When the engine first answered anything after that. */
  let answersSince: MonotonicInstant | undefined;

  async function orderLoad(
    {content, identified}: FetchedVersion,
    isDue: () => boolean,
  ): Promise<void> {
    if (ordering || unansweredAt !== undefined) return;
    if (loadState.kind === 'unconfirmed') return;
    if (clock() - orderedAt < ORDER_RETRY_DELAY) return;
    ordering = true;
    // Staged bytes may become corrupted between their arrival and the order,
    // and the engine would produce tokens with them. So they are verified right
    // before it.
    const reply = await staged
      .withVerified(content, async verified =>
        isDue() ? load(content, verified) : 'notDue',
      )
      .finally(() => (ordering = false));
    orderedAt = clock();
    const {model, version} = content;
    if (reply === 'notDue') return;
    if (reply === undefined) {
      log.warn('staged chunks are not whole; fetches them again', {
        model,
        version,
      });
      await swarm.refreshHeld();
      return;
    }
    if (reply.ok && loadState.kind === 'trusted') staged.forget(content);
    log.info('ordered to load', {
      model,
      version,
      versionDigest: identified.versionDigest,
      reply: reply.val,
      isConfirmed: loadState.kind === 'trusted',
    });
  }

  async function load(content: VersionContent, verified: VerifiedChunks) {
    const reply = await engine.load(content.model, content.version);
    if (reply.err && reply.val.kind === 'unreachable') {
      unansweredAt = clock();
      answersSince = undefined;
      awaitConfirmation(content);
    } else if (reply.ok && reply.val === 'begun') {
      loadState = TRUSTED;
      if (!verified.areCurrent()) awaitConfirmation(content);
    }
    return reply;
  }

  /** Nothing else is staged until the chunks have been read again. */
  function awaitConfirmation(content: VersionContent): void {
    loadState = {kind: 'unconfirmed', content};
    staged.hold();
  }

  /**
   * Reads the staged chunks after the order. A corrupted chunk stays so until it
   * is staged again, so chunks that are intact now were intact when taken.
   */
  function confirmLoad(): void {
    const state = loadState;
    if (state.kind !== 'unconfirmed' || unansweredAt !== undefined) return;
    if (isInspecting) return;
    isInspecting = true;
    void staged.inspect(state.content, found => {
      isInspecting = false;
      if (loadState !== state || found === 'unknown') return;
      endConfirmation(state.content, found);
    });
  }

  function endConfirmation(
    content: VersionContent,
    found: Exclude<StagedState, 'unknown'>,
  ): void {
    const {model, version} = content;
    switch (found) {
      case 'intact':
        loadState = TRUSTED;
        log.info('confirmed the loaded chunks', {model, version});
        break;
      case 'corrupted':
        loadState = {kind: 'corrupted'};
        log.error('may have loaded corrupted chunks', {model, version});
        break;
      default:
        unreachable(found);
    }
    staged.release();
  }

  return {
    orderLoad,
    recordAnswer: requestedAt => {
      if (unansweredAt !== undefined && requestedAt > unansweredAt) {
        answersSince ??= clock();
        // A request waiting on another connection may still be read after the
        // first answer.
        if (requestedAt > answersSince) unansweredAt = undefined;
      }
      confirmLoad();
    },
    isLoadTrusted: () => loadState.kind === 'trusted',
    reset: () => {
      orderedAt = -Infinity;
      unansweredAt = undefined;
      loadState = TRUSTED;
      staged.release();
    },
  };
}
