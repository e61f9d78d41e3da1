import {
  unreachable,
  type Bytes,
  type Digest,
  type RequestFailure,
  type SwarmEvent,
  type TransferId,
} from '@hibiscusbeam/core';
import type {PlatformError} from '@hibiscusbeam/core';
import {Err, type Result} from 'ts-results';
import {receiveChunk} from './chunk_receiver';
import type {Pacer} from './pacer';
import type {SwarmDriverOptions} from './types';

type Pieces = AsyncIterable<Result<Uint8Array, RequestFailure>>;

/** Running downloads, and the bytes of those that have completed. */
export interface Downloads {
  readonly fromOrigin: (
    transfer: TransferId,
    digest: Digest,
    size: Bytes,
  ) => void;
  readonly fromPeer: (
    transfer: TransferId,
    address: string | undefined,
    digest: Digest,
    size: Bytes,
  ) => void;
  readonly cancel: (transfer: TransferId) => void;
  readonly cancelAll: () => void;
  /** The bytes of a transfer while its `chunkArrived` event is handled. */
  readonly receivedPieces: (
    transfer: TransferId,
  ) => readonly Uint8Array[] | undefined;
}

/** Creates the runner of downloads, which reports to the swarm node. */
export function createDownloads(
  options: Pick<SwarmDriverOptions, 'weights' | 'fetchChunk'>,
  link: Pacer,
  dispatch: (event: SwarmEvent) => void,
): Downloads {
  const controllers = new Map<TransferId, AbortController>();
  const arrived = new Map<TransferId, readonly Uint8Array[]>();

  async function run(
    transfer: TransferId,
    digest: Digest,
    size: Bytes,
    open: (signal: AbortSignal) => Pieces,
  ): Promise<void> {
    const controller = new AbortController();
    controllers.set(transfer, controller);
    const received = await receive(controller.signal);
    if (!controllers.delete(transfer)) return;
    if (received.err) {
      dispatch({kind: 'requestFailed', transfer, failure: received.val});
      return;
    }
    const {pieces, verified} = received.val;
    arrived.set(transfer, pieces);
    dispatch({kind: 'chunkArrived', transfer, digest, verified});
    arrived.delete(transfer);

    async function receive(signal: AbortSignal) {
      const reportProgress = (bytes: Bytes) =>
        dispatch({kind: 'progress', transfer, bytes});
      try {
        return await receiveChunk(
          paced(open(signal), link),
          digest,
          size,
          reportProgress,
        );
      } catch {
        return Err<RequestFailure>({kind: 'unavailable'});
      }
    }
  }

  function cancel(transfer: TransferId): void {
    const controller = controllers.get(transfer);
    controllers.delete(transfer);
    controller?.abort();
  }

  return {
    fromOrigin(transfer, digest, size) {
      const open = (signal: AbortSignal) =>
        fromPlatform(options.weights.chunk(digest, signal));
      void run(transfer, digest, size, open);
    },
    fromPeer(transfer, address, digest, size) {
      const open = (signal: AbortSignal) =>
        address === undefined
          ? refused()
          : options.fetchChunk(address, digest, signal);
      void run(transfer, digest, size, open);
    },
    cancel,
    cancelAll() {
      for (const transfer of [...controllers.keys()]) cancel(transfer);
    },
    receivedPieces: transfer => arrived.get(transfer),
  };
}

async function* fromPlatform(
  pieces: AsyncIterable<Result<Uint8Array, PlatformError>>,
): Pieces {
  for await (const piece of pieces) {
    yield piece.mapErr(toFailure);
  }
}

function toFailure(error: PlatformError): RequestFailure {
  switch (error.kind) {
    case 'rateLimited':
      return {kind: 'busy', retryAfter: error.retryAfter};
    case 'notFound':
      return {kind: 'notHeld'};
    case 'unavailable':
    case 'replyLost':
    case 'malformed':
      return {kind: 'unavailable'};
    default:
      return unreachable(error);
  }
}

/** Stops reading pieces while the link's share is used up. */
async function* paced(pieces: Pieces, link: Pacer): Pieces {
  for await (const piece of pieces) {
    if (piece.ok) await link.acquire(piece.val.length);
    yield piece;
  }
}

async function* refused(): Pieces {
  yield Err({kind: 'unavailable'});
}
