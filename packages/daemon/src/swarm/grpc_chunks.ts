import {
  Metadata,
  status,
  type ServerWritableStream,
  type ServiceError,
} from '@grpc/grpc-js';
import type {Digest, InstanceName, RequestFailure} from '@hibiscusbeam/core';
import type {
  AgentClient,
  ChunkPiece,
  FetchChunkRequest,
} from '@hibiscusbeam/wire';
import {once} from 'node:events';
import {Err, Ok, type Result} from 'ts-results';
import type {SwarmDriver} from './types';

/** Metadata key of the calling instance. */
const INSTANCE_METADATA_KEY = 'hibiscusbeam-instance';

/** Metadata key of the wait that a busy sender requests, in milliseconds. */
const RETRY_AFTER_METADATA_KEY = 'retry-after-milliseconds';

/** Wait after a busy answer that states none. */
const DEFAULT_RETRY_AFTER_MS = 100;

/** Time between empty pieces to a waiting reader. */
const KEEP_ALIVE_INTERVAL_MS = 250;

const NO_BYTES = Buffer.alloc(0);

/** Reads a chunk over `FetchChunk`; unread pieces slow the sender down. */
export async function* fetchChunkOverGrpc(
  client: Pick<AgentClient, 'fetchChunk'>,
  self: InstanceName,
  digest: Digest,
  signal: AbortSignal,
  metadata: Metadata = new Metadata(),
): AsyncGenerator<Result<Uint8Array, RequestFailure>> {
  const withInstance = metadata.clone();
  withInstance.set(INSTANCE_METADATA_KEY, self);
  const call = client.fetchChunk({digest}, withInstance);
  const cancel = () => call.cancel();
  signal.addEventListener('abort', cancel, {once: true});
  try {
    for await (const piece of call as AsyncIterable<ChunkPiece>) {
      yield Ok(piece.content);
    }
  } catch (error) {
    yield Err(toFailure(error as ServiceError));
  } finally {
    signal.removeEventListener('abort', cancel);
    call.cancel();
  }
}

/** Answers `FetchChunk` from a driver; pauses while the reader is slow. */
export async function handleFetchChunk(
  call: ServerWritableStream<FetchChunkRequest, ChunkPiece>,
  driver: Pick<SwarmDriver, 'serveChunk'>,
): Promise<void> {
  const controller = new AbortController();
  call.on('cancelled', () => controller.abort());
  const instance = String(
    call.metadata.get(INSTANCE_METADATA_KEY)[0] ?? call.getPeer(),
  );
  const {digest} = call.request;
  // A reader can't tell a queued upload from a frozen sender by silence alone
  // and would request the chunk from others too. Empty pieces show that this
  // sender is alive.
  const keepAlive = setInterval(
    () => call.write({content: NO_BYTES, size: 0}),
    KEEP_ALIVE_INTERVAL_MS,
  );
  const served = await driver.serveChunk(instance, digest, controller.signal);
  clearInterval(keepAlive);
  if (served.err) {
    call.emit('error', toStatus(served.val));
    return;
  }
  try {
    for await (const content of served.val) {
      if (call.write({content, size: 0})) continue;
      await once(call, 'drain', {signal: controller.signal});
    }
    call.end();
  } catch {
    call.emit('error', toStatus({kind: 'unavailable'}));
  }
}

function toStatus(failure: RequestFailure): Partial<ServiceError> {
  switch (failure.kind) {
    case 'busy': {
      const metadata = new Metadata();
      metadata.set(
        RETRY_AFTER_METADATA_KEY,
        String(Math.ceil(failure.retryAfter)),
      );
      return {code: status.RESOURCE_EXHAUSTED, details: 'busy', metadata};
    }
    case 'notHeld':
      return {code: status.NOT_FOUND, details: 'chunk not held'};
    case 'unavailable':
      return {code: status.UNAVAILABLE, details: 'chunk not read'};
  }
}

function toFailure(error: ServiceError): RequestFailure {
  switch (error.code) {
    case status.RESOURCE_EXHAUSTED:
      return {kind: 'busy', retryAfter: retryAfter(error.metadata)};
    case status.NOT_FOUND:
      return {kind: 'notHeld'};
    default:
      return {kind: 'unavailable'};
  }
}

function retryAfter(metadata: Metadata | undefined): number {
  const value = Number(metadata?.get(RETRY_AFTER_METADATA_KEY)[0]);
  return Number.isFinite(value) && value > 0 ? value : DEFAULT_RETRY_AFTER_MS;
}
