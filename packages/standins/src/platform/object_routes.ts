import type {FastifyInstance} from 'fastify';
import {sendError} from '../shared/server';

/** Controls of the object store. */
export interface ObjectControls {
  readonly setOutage: (outage: boolean) => void;
}

/** Adds the object store's routes to `server`. */
export function addObjectRoutes(server: FastifyInstance): ObjectControls {
  const objects = new Map<string, Buffer>();
  let outage = false;

  server.register((routes, _options, done) => {
    routes.addHook('onRequest', async (_request, reply) =>
      outage ? sendError(reply, 503, 'unavailable', 'outage') : undefined,
    );

    routes.get<{Params: {'*': string}}>('/objects/*', ({params}, reply) => {
      const content = objects.get(params['*']);
      if (content === undefined) return sendError(reply, 404, 'notFound');
      return reply.type('application/octet-stream').send(content);
    });

    routes.put<{Params: {'*': string}}>(
      '/objects/*',
      ({params, body}, reply) => {
        if (!Buffer.isBuffer(body)) {
          return sendError(reply, 400, 'bytesExpected');
        }
        objects.set(params['*'], body);
        return reply.send({});
      },
    );
    done();
  });

  return {
    setOutage: value => {
      outage = value;
    },
  };
}
