import type {Digest} from '@hibiscusbeam/core';
import type {FastifyInstance, FastifyReply} from 'fastify';
import {parseBody, sendError} from '../shared/server';
import type {ChunkStore} from './chunk_store';
import {orderBodySchema} from './schemas';
import type {EngineVersions, OrderOutcome} from './versions';

function sendOutcome(reply: FastifyReply, outcome: OrderOutcome): FastifyReply {
  switch (outcome.kind) {
    case 'accepted':
      return reply.send({accepted: true});
    case 'staleFencing': {
      const {kind: error, highest} = outcome;
      return reply.code(409).send({error, detail: '', highest});
    }
    case 'manifestMismatch':
      return reply
        .code(422)
        .send({error: 'incomplete', detail: 'manifest mismatch', missing: []});
    case 'incomplete': {
      const {kind: error, missing} = outcome;
      return reply.code(422).send({error, detail: '', missing});
    }
  }
}

/** Adds the routes for chunks and orders to `server`. */
export function addVersionRoutes(
  server: FastifyInstance,
  chunks: ChunkStore,
  versions: EngineVersions,
): void {
  server.put<{Params: {digest: Digest}}>(
    '/chunks/:digest',
    ({params, body}, reply) => {
      if (!Buffer.isBuffer(body)) return sendError(reply, 400, 'bytesExpected');
      chunks.put(params.digest, body);
      return reply.send({});
    },
  );

  server.get('/chunks', (_request, reply) =>
    reply.send({digests: chunks.digests()}),
  );

  server.get<{Params: {digest: Digest}}>(
    '/chunks/:digest',
    ({params}, reply) => {
      const content = chunks.get(params.digest);
      if (content === undefined) return sendError(reply, 404, 'notFound');
      return reply.type('application/octet-stream').send(content);
    },
  );

  server.delete<{Params: {digest: Digest}}>(
    '/chunks/:digest',
    ({params}, reply) => {
      chunks.remove(params.digest);
      return reply.send({});
    },
  );

  server.post('/orders', async (request, reply) => {
    const {order, fencing} = parseBody(orderBodySchema, request);
    const giver = String(request.headers['x-order-giver'] ?? '');
    return sendOutcome(reply, await versions.order(order, fencing, giver));
  });

  server.get('/orders', (_request, reply) =>
    reply.send({orders: versions.orders()}),
  );
}
