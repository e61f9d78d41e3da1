import type {Milliseconds} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import type {EngineError, VersionContent, VersionOrigin} from '../ports';
import type {WantedModel} from './wanted_version';

/** Pause before a version's content is requested from the origin again. */
const CONTENT_RETRY_DELAY: Milliseconds = 200;

/** Reads the content of versions from the origin. */
export interface ContentReader {
  /**
   * Reads the content of `version`, or of the newest one; undefined if it can't
   * be read, or if the pause before the next request is not over.
   */
  readonly read: (
    model: WantedModel,
    version: number | undefined,
  ) => Promise<VersionContent | undefined>;
}

/** Options of {@link createContentReader}. */
export interface ContentReaderOptions {
  readonly origin: VersionOrigin;
  readonly clock: Clock;
  readonly log: Log;
}

/** Creates the reader, which has at most one request in flight. */
export function createContentReader(
  options: ContentReaderOptions,
): ContentReader {
  const {origin, clock, log} = options;
  let requestedAt = -Infinity;
  let isReading = false;
  let isLost = false;

  /**
   * Logs one line when the content can't be read, and one when it can again.
   */
  function logChange(
    error: EngineError | undefined,
    model: WantedModel,
    version: number | undefined,
  ): void {
    const isLostNow = error !== undefined;
    if (isLostNow === isLost) return;
    isLost = isLostNow;
    const fields = {model: model.name, version, error};
    if (isLost) log.warn('content of a version not read', fields);
    else log.info('content of a version read again', fields);
  }

  return {
    read: async (model, version) => {
      if (isReading || clock() - requestedAt < CONTENT_RETRY_DELAY) {
        return undefined;
      }
      isReading = true;
      requestedAt = clock();
      const reply = await origin.content(model.origin, model.name, version);
      isReading = false;
      logChange(reply.ok ? undefined : reply.val, model, version);
      return reply.ok ? reply.val : undefined;
    },
  };
}
