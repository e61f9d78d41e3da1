import {Readable} from 'node:stream';
import type {FastifyInstance, FastifyReply} from 'fastify';
import type {Bytes, Digest, VersionDigest} from '@hibiscusbeam/core';
import type {Clock} from '../shared/clock';
import {parseBody, sendError} from '../shared/server';
import {createPacer} from './pacer';
import {publishBodySchema} from './schemas';
import type {WeightFaults} from './schemas';
import {createVersionStore} from './versions';

/** Size of a slice on the shared link; small, so that transfers interleave. */
const SLICE_BYTES: Bytes = 64 * 1024;

/** Reads one slice ahead, so that few bytes are counted but never received. */
const READ_AHEAD_OPTIONS = {highWaterMark: 1};

/** Bytes and chunks that the origin has sent so far. */
export interface WeightCounters {
  readonly bytes: Bytes;
  /** Chunks sent to their end. */
  readonly chunks: number;
}

/** Controls of the weight store. */
export interface WeightControls {
  readonly setFaults: (faults: WeightFaults) => void;
  readonly counters: () => WeightCounters;
}

/** Adds the weight store's routes to `server`. */
export function addWeightRoutes(
  server: FastifyInstance,
  clock: Clock,
): WeightControls {
  const versions = createVersionStore();
  const pacer = createPacer(clock, null);
  const counters = {bytes: 0, chunks: 0};
  let outage = false;
  let stallNext = 0;
  let corruptNext = 0;

  async function* pacedSlices(
    content: Buffer,
    stalls: boolean,
  ): AsyncGenerator<Buffer> {
    const end = stalls ? content.length >>> 1 : content.length;
    for (let sent = 0; sent < end; sent += SLICE_BYTES) {
      const slice = content.subarray(sent, Math.min(end, sent + SLICE_BYTES));
      await pacer.take(slice.length);
      counters.bytes += slice.length;
      yield slice;
    }
    if (stalls) await new Promise(() => undefined);
    counters.chunks += 1;
  }

  function corruptIfSet(content: Buffer): Buffer {
    if (corruptNext === 0) return content;
    corruptNext -= 1;
    const copy = Buffer.from(content);
    copy.writeUInt8(copy.readUInt8(0) ^ 0xff, 0);
    return copy;
  }

  function sendChunk(digest: Digest, reply: FastifyReply) {
    const content = versions.chunk(digest);
    if (content === undefined) return sendError(reply, 404, 'notFound', digest);
    const stalls = stallNext > 0;
    if (stalls) stallNext -= 1;
    return reply
      .type('application/octet-stream')
      .header('content-length', content.length)
      .send(
        Readable.from(
          pacedSlices(corruptIfSet(content), stalls),
          READ_AHEAD_OPTIONS,
        ),
      );
  }

  server.register((routes, _options, done) => {
    routes.addHook('onRequest', async (_request, reply) =>
      outage ? sendError(reply, 503, 'unavailable', 'outage') : undefined,
    );

    routes.get<{Params: {model: string; label: string}}>(
      '/weights/models/:model/versions/:label',
      ({params}, reply) => {
        const versionDigest = versions.resolve(params.model, params.label);
        if (versionDigest === undefined) {
          return sendError(reply, 404, 'notFound');
        }
        return reply.send({versionDigest});
      },
    );

    routes.get<{Params: {versionDigest: VersionDigest}}>(
      '/weights/manifests/:versionDigest',
      ({params}, reply) => {
        const text = versions.manifestText(params.versionDigest);
        if (text === undefined) return sendError(reply, 404, 'notFound');
        return reply.type('application/json').send(text);
      },
    );

    routes.get<{Params: {digest: Digest}}>(
      '/weights/chunks/:digest',
      ({params}, reply) => sendChunk(params.digest, reply),
    );
    done();
  });

  server.post('/weights/versions', (request, reply) => {
    const versionDigest = versions.publish(
      parseBody(publishBodySchema, request),
    );
    if (versionDigest === undefined) {
      return sendError(reply, 404, 'notFound', 'sharedWith names no version');
    }
    return reply.send({versionDigest});
  });

  return {
    setFaults: faults => {
      outage = faults.outage ?? outage;
      stallNext = faults.stallNext ?? stallNext;
      corruptNext = faults.corruptNext ?? corruptNext;
      if (faults.bytesPerSecond !== undefined) {
        pacer.setRate(faults.bytesPerSecond);
      }
    },
    counters: () => ({...counters}),
  };
}
