import type {FastifyInstance} from 'fastify';
import type {Milliseconds} from '@hibiscusbeam/core';
import type {Clock} from '../shared/clock';
import {createLaggedView} from '../shared/lagged_view';
import {parseBody, sendError} from '../shared/server';
import {listedInstanceSchema} from './schemas';
import type {ListedInstance} from './schemas';

/** Controls of the instance list. */
export interface InstanceControls {
  readonly setLag: (lag: Milliseconds) => void;
}

/** Adds the routes of the instance list, whose reads lag, to `server`. */
export function addInstanceRoutes(
  server: FastifyInstance,
  clock: Clock,
): InstanceControls {
  const instances = new Map<string, ListedInstance>();
  const list = createLaggedView<readonly ListedInstance[]>(clock, []);

  server.get('/instances', (_request, reply) =>
    reply.send({instances: list.read().value}),
  );

  server.put<{Params: {instance: string}}>(
    '/instances/:instance',
    (request, reply) => {
      const instance = parseBody(listedInstanceSchema, request);
      if (instance.instance !== request.params.instance) {
        return sendError(reply, 400, 'nameMismatch');
      }
      instances.set(instance.instance, instance);
      list.record([...instances.values()]);
      return reply.send({});
    },
  );

  server.delete<{Params: {instance: string}}>(
    '/instances/:instance',
    ({params}, reply) => {
      instances.delete(params.instance);
      list.record([...instances.values()]);
      return reply.send({});
    },
  );

  return {setLag: list.setLag};
}
