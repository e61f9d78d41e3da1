import type {SiteConfiguration, TargetName} from '../../types';
import {rendezvousOrder} from '../../utils/hash';
import type {ZoneChoice, PlanFacts, ServeChange} from '../types';
import {type PlanFault} from '../types';
import {planFault} from './draft';
import {lookUp} from './lookup';

/** The targets of a `serve` change, or the reasons why there are none. */
export interface ChosenTargets {
  readonly targets: readonly TargetName[];
  readonly faults: readonly PlanFault[];
}

/** Resolves a choice by instances, zone or count to sorted target names. */
export function chooseTargets(
  change: ServeChange,
  configuration: SiteConfiguration,
  facts: PlanFacts,
  path: string,
): ChosenTargets {
  const choice = change.targets;
  if ('instances' in choice) {
    return chooseByInstances(choice.instances, configuration, facts, path);
  }
  return chooseByZone(choice, change, configuration, facts, path);
}

function chooseByInstances(
  instances: readonly string[],
  configuration: SiteConfiguration,
  facts: PlanFacts,
  path: string,
): ChosenTargets {
  const targets: TargetName[] = [];
  const faults: PlanFault[] = [];
  for (const instance of instances) {
    const known = facts.targets.find(
      target => target.instance === instance || target.target === instance,
    );
    if (known === undefined) {
      const detail = `no instance ${instance} is known`;
      faults.push(planFault('unknownInstance', path, detail));
      continue;
    }
    const fault = findServingFault(known.target, configuration, path);
    if (fault !== undefined) faults.push(fault);
    targets.push(known.target);
  }
  return {targets: [...new Set(targets)].sort(), faults};
}

function findServingFault(
  name: TargetName,
  configuration: SiteConfiguration,
  path: string,
): PlanFault | undefined {
  const target = lookUp(configuration.targets, name);
  if (target === undefined) {
    return planFault('notJoined', path, `target ${name} has not joined`);
  }
  if (target.owner !== 'hibiscusbeam') {
    const detail = `target ${name} is owned by the older system`;
    return planFault('ownedByOlderSystem', path, detail);
  }
  if (target.state !== 'joined') {
    return planFault('notJoined', path, `target ${name} is leaving`);
  }
  if (target.kind !== 'modelEngine') {
    return planFault('wrongKind', path, `target ${name} is a plain service`);
  }
  return undefined;
}

function chooseByZone(
  choice: ZoneChoice,
  change: ServeChange,
  configuration: SiteConfiguration,
  facts: PlanFacts,
  path: string,
): ChosenTargets {
  const candidates = Object.entries(configuration.targets)
    .filter(([, target]) => isInChosenZone(choice, target.zone))
    .map(([name]) => name)
    .filter(name => findServingFault(name, configuration, path) === undefined);
  const wanted = choice.count ?? Math.max(1, candidates.length);
  if (candidates.length < wanted) {
    const place = choice.zone === undefined ? '' : ` in zone ${choice.zone}`;
    const detail = `${wanted} targets wanted${place}, ${candidates.length} can serve`;
    return {targets: [], faults: [planFault('tooFewTargets', path, detail)]};
  }
  const order = orderByPreference(change, candidates, configuration, facts);
  return {targets: order.slice(0, wanted).sort(), faults: []};
}

function isInChosenZone(choice: ZoneChoice, zone: string): boolean {
  return choice.zone === undefined || choice.zone === zone;
}

/**
 * Orders by: serving the model already, live, number of models served
 * (ascending).
 */
function orderByPreference(
  change: ServeChange,
  candidates: readonly TargetName[],
  configuration: SiteConfiguration,
  facts: PlanFacts,
): TargetName[] {
  const serving = new Set(lookUp(configuration.models, change.model)?.targets);
  const live = new Set(
    facts.targets.filter(target => target.live).map(target => target.target),
  );
  const models = Object.values(configuration.models);
  const cost = (name: TargetName): number => {
    const used = models.filter(model => model.targets.includes(name)).length;
    const notLive = live.has(name) ? 0 : models.length + 1;
    const notServing = serving.has(name) ? 0 : 2 * (models.length + 1);
    return used + notLive + notServing;
  };
  return [...rendezvousOrder(change.model, candidates)].sort(
    (left, right) => cost(left) - cost(right),
  );
}
