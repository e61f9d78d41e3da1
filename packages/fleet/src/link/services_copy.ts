import type {ServiceDescription} from '@hibiscusbeam/core';
import type {ServicesCopy} from '@hibiscusbeam/wire';

/** What agents need of a service of model engines. */
export type EngineService = Pick<
  Extract<ServiceDescription, {kind: 'modelEngine'}>,
  'kind' | 'name' | 'weights'
>;

/** What agents need of an origin of weights. */
export type OriginService = Pick<
  Extract<ServiceDescription, {kind: 'weightOrigin'}>,
  'kind' | 'name' | 'address' | 'linkRate'
>;

/** A configured service as an agent knows it. */
export type AgentService = EngineService | OriginService;

/** Returns the services that agents need, in their order. */
export function selectAgentServices(
  services: readonly ServiceDescription[],
): readonly AgentService[] {
  return services.filter(service => service.kind !== 'plain');
}

/** Writes the services for agents; undefined if no services are known. */
export function writeServices(
  services: readonly ServiceDescription[] | undefined,
): ServicesCopy | undefined {
  if (services === undefined) return undefined;
  const copy: ServicesCopy = {engines: [], origins: []};
  for (const service of selectAgentServices(services)) {
    const {name} = service;
    if (service.kind === 'modelEngine') {
      const {models, chunks, chunkSize, layers} = service.weights;
      copy.engines.push({name, models: [...models], chunks, chunkSize, layers});
    } else {
      const {address, linkRate} = service;
      copy.origins.push({name, address, linkRate});
    }
  }
  return copy;
}

/** Reads services that an entry has sent. */
export function readServices({
  engines,
  origins,
}: ServicesCopy): readonly AgentService[] {
  return [
    ...engines.map(({name, ...weights}): EngineService => ({
      kind: 'modelEngine',
      name,
      weights,
    })),
    ...origins.map(({name, address, linkRate}): OriginService => ({
      kind: 'weightOrigin',
      name,
      address,
      linkRate,
    })),
  ];
}
