import {unreachable, type Digest, type PlatformError} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
import {Err, type Result} from 'ts-results';
import type {EngineError, VersionContent, VersionOrigin} from '../ports';
import type {OperatorMonitor} from './operator_monitor';

/** Options of {@link createOriginReader}. */
export interface OriginReaderOptions {
  readonly origin: VersionOrigin;
  readonly operator: OperatorMonitor;
  /** Versions whose chunks may be requested. */
  readonly wanted: () => readonly VersionContent[];
  readonly log: Log;
}

/** Reads chunks from the origin of weights. */
export interface OriginReader {
  readonly chunk: (
    digest: Digest,
    signal: AbortSignal,
  ) => AsyncGenerator<Result<Uint8Array, PlatformError>>;
}

/** Creates the reader. It logs when the origin is lost or regained. */
export function createOriginReader(options: OriginReaderOptions): OriginReader {
  const {log} = options;
  let failures = 0;

  async function* chunk(
    digest: Digest,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Uint8Array, PlatformError>> {
    const content = options
      .wanted()
      .find(({digests}) => digests.includes(digest));
    const address = originAddress();
    if (content === undefined || address === undefined) {
      yield Err({
        kind: 'unavailable',
        detail: 'no origin is known for the chunk',
      });
      return;
    }
    const position = content.digests.indexOf(digest);
    const pieces = options.origin.chunk(address, content, position, signal);
    for await (const piece of pieces) {
      if (piece.ok) recordAnswer(address);
      else if (!signal.aborted) recordFailure(address, piece.val);
      yield piece.mapErr(toPlatformError);
    }
  }

  function originAddress(): string | undefined {
    const services = options.operator.services();
    for (const service of services) {
      if (service.kind === 'weightOrigin') return service.address;
    }
    return undefined;
  }

  function recordFailure(address: string, error: EngineError): void {
    failures += 1;
    if (failures === 1) log.warn('origin of weights lost', {address, error});
  }

  function recordAnswer(address: string): void {
    if (failures === 0) return;
    log.info('origin of weights regained', {address, failures});
    failures = 0;
  }

  return {chunk};
}

function toPlatformError(error: EngineError): PlatformError {
  switch (error.kind) {
    case 'notHeld':
      return {kind: 'notFound', detail: error.detail};
    case 'unreachable':
    case 'refused':
      return {kind: 'unavailable', detail: error.detail};
    case 'malformed':
      return error;
    default:
      return unreachable(error);
  }
}
