import {createSystemClock} from '../shared/clock';
import {createServer, listenOn, parseBody} from '../shared/server';
import type {StandIn, StandInOptions} from '../shared/server';
import {addInstanceRoutes} from './instance_routes';
import {addObjectRoutes} from './object_routes';
import {platformFaultsSchema} from './schemas';
import {addTableRoutes} from './table_routes';
import {addWeightRoutes} from './weight_routes';

/** Starts the platform: table, objects, weights and the list of instances. */
export async function startPlatform(options: StandInOptions): Promise<StandIn> {
  const clock = options.clock ?? createSystemClock();
  const server = createServer();
  const table = addTableRoutes(server, clock);
  const objects = addObjectRoutes(server);
  const weights = addWeightRoutes(server, clock);
  const instances = addInstanceRoutes(server, clock);

  server.post('/faults', (request, reply) => {
    const faults = parseBody(platformFaultsSchema, request);
    table.setFaults(faults.table ?? {});
    weights.setFaults(faults.weights ?? {});
    if (faults.instances?.lag !== undefined) {
      instances.setLag(faults.instances.lag);
    }
    if (faults.objects?.outage !== undefined) {
      objects.setOutage(faults.objects.outage);
    }
    return reply.send({});
  });

  server.get('/counters', (_request, reply) =>
    reply.send({table: table.counters(), weights: weights.counters()}),
  );

  return listenOn(server, options.listen);
}
