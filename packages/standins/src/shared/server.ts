import {fastify} from 'fastify';
import type {
  FastifyError,
  FastifyInstance,
  FastifyReply,
  FastifyRequest,
} from 'fastify';
import type {AddressInfo} from 'node:net';
import * as z from 'zod';
import type {Clock} from './clock';

/** A running stand-in. */
export interface StandIn {
  /** Address that it listens on, `IP:port`. */
  readonly address: string;
  readonly close: () => Promise<void>;
}

/** Options of every stand-in. */
export interface StandInOptions {
  /** `IP:port`; port 0 takes any free one. */
  readonly listen: string;
  /** Defaults to the process's monotonic clock. */
  readonly clock?: Clock;
}

/** Above any chunk size in use. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;

const BAD_REQUEST = 400;

/** Creates an HTTP server that accepts JSON and raw bytes and logs nothing. */
export function createServer(): FastifyInstance {
  const server = fastify({
    bodyLimit: MAX_BODY_BYTES,
    forceCloseConnections: true,
    exposeHeadRoutes: false,
  });
  server.setErrorHandler<FastifyError>((error, _request, reply) =>
    sendError(reply, error.statusCode ?? 500, error.code, error.message),
  );
  server.addContentTypeParser(
    'application/octet-stream',
    {parseAs: 'buffer'},
    (_request, body, done) => done(null, body),
  );
  addRawAnswers(server);
  return server;
}

/** Listens on `listen` and returns the actual address. */
export async function listenOn(
  server: FastifyInstance,
  listen: string,
): Promise<StandIn> {
  const separator = listen.lastIndexOf(':');
  const host = listen.slice(0, separator);
  await server.listen({host, port: Number(listen.slice(separator + 1))});
  const {port} = server.server.address() as AddressInfo;
  return {
    address: `${host}:${port}`,
    close: async () => {
      await server.close();
    },
  };
}

/** Parses the body with `schema`; a mismatch is answered with status 400. */
export function parseBody<Body>(
  schema: z.ZodType<Body>,
  request: FastifyRequest,
): Body {
  const parsed = schema.safeParse(request.body);
  if (parsed.success) return parsed.data;
  throw Object.assign(new Error(parsed.error.message), {
    statusCode: BAD_REQUEST,
    code: 'badRequest',
  });
}

/** Route that sets the bytes of the answers to all other requests. */
const RAW_ANSWER_PATH = '/raw-answer';

const rawAnswerSchema = z.strictObject({
  /** Each character is one byte; null ends the fault. */
  bytes: z.string().nullable(),
});

/**
 * Lets tests replace all answers by any bytes and the end of the connection;
 * replies with the paths of the requests that were answered so until then.
 */
function addRawAnswers(server: FastifyInstance): void {
  let bytes: string | null = null;
  let paths: readonly string[] = [];
  server.post(RAW_ANSWER_PATH, (request, reply) => {
    bytes = parseBody(rawAnswerSchema, request).bytes;
    const answered = paths;
    paths = [];
    return reply.send({answered});
  });
  server.addHook('preHandler', async (request, reply) => {
    if (bytes === null || request.url === RAW_ANSWER_PATH) return;
    paths = [...paths, request.url];
    reply.hijack();
    request.raw.socket.end(Buffer.from(bytes, 'latin1'));
  });
}

/** Sends an error as `{error, detail}`. */
export function sendError(
  reply: FastifyReply,
  status: number,
  error: string,
  detail = '',
): FastifyReply {
  return reply.code(status).send({error, detail});
}

/** Closes the connection without an answer, as a broken link does. */
export function cutConnection(
  request: FastifyRequest,
  reply: FastifyReply,
): FastifyReply {
  reply.hijack();
  request.raw.socket.destroy();
  return reply;
}
