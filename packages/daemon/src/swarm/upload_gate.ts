import type {
  Digest,
  InstanceName,
  RequestFailure,
  SwarmEvent,
  UploadId,
} from '@hibiscusbeam/core';
import {Err, Ok, type Result} from 'ts-results';
import type {Pacer} from './pacer';
import type {ChunkStore} from './types';

interface OpenUpload {
  readonly admit: (answer: Result<void, RequestFailure>) => void;
  readonly controller: AbortController;
}

/** Uploads from their request to their end. */
export interface UploadGate {
  readonly serve: (
    instance: InstanceName,
    digest: Digest,
    signal: AbortSignal,
  ) => Promise<Result<AsyncIterable<Uint8Array>, RequestFailure>>;
  readonly start: (upload: UploadId) => void;
  readonly refuse: (upload: UploadId, failure: RequestFailure) => void;
  readonly stop: (upload: UploadId) => void;
  readonly stopAll: () => void;
}

/** Creates the gate, where each upload waits until the node admits it. */
export function createUploadGate(
  store: ChunkStore,
  link: Pacer,
  dispatch: (event: SwarmEvent) => void,
): UploadGate {
  const open = new Map<UploadId, OpenUpload>();
  let nextUpload: UploadId = 1;

  function end(upload: UploadId): void {
    if (!open.delete(upload)) return;
    dispatch({kind: 'uploadEnded', upload});
  }

  async function* pieces(
    upload: UploadId,
    digest: Digest,
    signal: AbortSignal,
  ): AsyncGenerator<Uint8Array> {
    try {
      for await (const piece of store.get(digest, signal)) {
        if (piece.err) throw new Error(`chunk not read: ${piece.val.detail}`);
        await link.acquire(piece.val.length);
        if (signal.aborted) throw new Error('upload stopped');
        yield piece.val;
        dispatch({kind: 'uploadProgress', upload});
      }
    } finally {
      end(upload);
    }
  }

  return {
    async serve(instance, digest, signal) {
      const upload = nextUpload;
      nextUpload += 1;
      const controller = new AbortController();
      const stopped = AbortSignal.any([signal, controller.signal]);
      const answer = await new Promise<Result<void, RequestFailure>>(
        resolve => {
          open.set(upload, {admit: resolve, controller});
          const onAbort = () => resolve(Err({kind: 'unavailable'}));
          stopped.addEventListener('abort', onAbort, {once: true});
          dispatch({kind: 'uploadAsked', upload, neighbour: instance, digest});
        },
      );
      if (answer.ok && !stopped.aborted) {
        return Ok(pieces(upload, digest, stopped));
      }
      end(upload);
      return answer.ok ? Err({kind: 'unavailable'}) : answer;
    },
    start: upload => open.get(upload)?.admit(Ok(undefined)),
    refuse: (upload, failure) => open.get(upload)?.admit(Err(failure)),
    stop(upload) {
      open.get(upload)?.controller.abort();
      open.delete(upload);
    },
    stopAll() {
      for (const {controller} of open.values()) controller.abort();
    },
  };
}
