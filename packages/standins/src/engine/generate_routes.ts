import {PassThrough} from 'node:stream';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import type {AnswerFaults} from '../shared/answer_faults';
import {parseBody, sendError} from '../shared/server';
import type {Batch} from './batch';
import {createRun} from './run';
import type {AnswerSink, Run} from './run';
import type {Runs} from './runs';
import {generateBodySchema} from './schemas';
import type {EngineVersions} from './versions';

/** Dependencies of the generate routes. */
export interface GenerateRouteDependencies {
  readonly versions: EngineVersions;
  readonly batch: Batch;
  readonly runs: Runs;
  readonly answerFaults: AnswerFaults;
}

/** Sends lines as NDJSON; cuts the connection after `cutAfter` tokens. */
function openStream(
  request: FastifyRequest,
  reply: FastifyReply,
  cutAfter: number,
): AnswerSink {
  const stream = new PassThrough();
  let tokens = 0;
  void reply.type('application/x-ndjson').send(stream);
  // Acknowledges the request, even while it waits for a slot.
  reply.raw.flushHeaders();
  return {
    line: line => {
      if (tokens >= cutAfter) {
        request.raw.socket.destroy();
        return;
      }
      if (line.kind === 'token') tokens += 1;
      if (!stream.destroyed) stream.write(`${JSON.stringify(line)}\n`);
    },
    close: () => stream.end(),
  };
}

/** Adds the routes for generating, resuming and cancelling to `server`. */
export function addGenerateRoutes(
  server: FastifyInstance,
  dependencies: GenerateRouteDependencies,
): void {
  const {versions, batch, runs, answerFaults} = dependencies;

  async function streamAnswer(
    run: Run,
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const dropped = answerFaults.consumeDrop();
    const sent = await answerFaults.applyFaults(run);
    const halfTokens = Math.ceil(sent.generation.maximumTokens / 2);
    const sink = openStream(request, reply, dropped ? halfTokens : Infinity);
    sent.follow(sink, 0);
    return reply;
  }

  server.post('/generate', (request, reply) => {
    const body = parseBody(generateBodySchema, request);
    const version = versions.find(body.model, body.versionDigest);
    if (version === undefined) return sendError(reply, 404, 'notLoaded');
    const {versionDigest} = version;
    const run = createRun({...body, versionDigest});
    if (!batch.submit(run)) return sendError(reply, 429, 'queueFull');
    runs.add(run);
    return streamAnswer(run, request, reply);
  });

  server.get<{Params: {attempt: string}; Querystring: {from?: string}}>(
    '/generate/:attempt',
    (request, reply) => {
      const run = runs.find(request.params.attempt);
      if (run === undefined) return sendError(reply, 404, 'notFound');
      const from = Number(request.query.from ?? 0);
      if (!Number.isInteger(from) || from < 0) {
        return sendError(reply, 400, 'badSequence');
      }
      run.follow(openStream(request, reply, Infinity), from);
      return reply;
    },
  );

  server.delete<{Params: {attempt: string}}>(
    '/generate/:attempt',
    ({params}, reply) => {
      const run = runs.find(params.attempt);
      if (run === undefined) return sendError(reply, 404, 'notFound');
      const state = run.state();
      if (state === 'queued' || state === 'running') {
        run.cancel();
        batch.remove(run);
      }
      return reply.send({state: run.state(), started: state !== 'queued'});
    },
  );

  server.get('/runs', (_request, reply) => reply.send({runs: runs.counts()}));
}
