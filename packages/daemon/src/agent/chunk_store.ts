import {Err, Ok} from 'ts-results';
import type {ChunkStore, ChunkStoreError} from '../swarm';
import type {EngineClient, TargetError} from '../targets/types';

/** Stores chunks in the engine, which loads its weights from them. */
export function createEngineChunkStore(engine: EngineClient): ChunkStore {
  return {
    put: async (digest, pieces) => {
      const stored = await engine.putChunk(digest, pieces);
      return stored.mapErr(storeErrorOf);
    },
    list: async () => {
      const report = await engine.report();
      if (report.err) return Err(storeErrorOf(report.val));
      const listed = await engine.listChunks();
      if (listed.err) return Err(storeErrorOf(listed.val));
      return Ok({life: report.val.life, digests: listed.val});
    },
    get: async function* (digest) {
      const content = await engine.readChunk(digest);
      yield content.mapErr(storeErrorOf);
    },
  };
}

function storeErrorOf(error: TargetError): ChunkStoreError {
  if (error.kind !== 'refused') {
    return {kind: 'unavailable', detail: error.detail};
  }
  const kind = error.status === 404 ? 'notHeld' : 'refused';
  return {kind, detail: error.detail};
}
