import {
  activationKey,
  parseActivationRow,
  type SwapRequest,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {propertySettings} from '../fixtures/property_settings';
import {
  createSteppedTable,
  type SteppedTable,
  type TableFault,
} from '../fixtures/stepped_table';
import {
  createSteppedTarget,
  startAgent,
  type SteppedAgent,
  type SteppedTarget,
} from './stepped_target';

const MAX_TARGETS = 4;

/** One step of a run: an agent of a target acts, then faults are injected. */
export interface Step {
  readonly target: number;
  /** Whether an earlier agent acts, which was paused and replaced. */
  readonly earlier: boolean;
  readonly action:
    | 'take'
    | 'report'
    | 'withdraw'
    | 'unload'
    | 'load'
    | 'fence'
    | 'adopt'
    | 'replace'
    | 'die'
    | 'land'
    | 'resume'
    | 'resumeOvertaken';
  readonly faults: readonly TableFault[];
}

type Action = Step['action'];

interface ActionMix {
  readonly actions: readonly Action[];
  readonly fault: fc.Arbitrary<TableFault>;
  readonly earlier: number;
  readonly runs: number;
}

/**
 * Arbitrary steps of a mix; an action that is listed twice is twice as likely.
 */
export function stepsOf(mix: ActionMix): fc.Arbitrary<readonly Step[]> {
  const step = fc.record({
    target: fc.nat({max: MAX_TARGETS - 1}),
    earlier: fc.oneof(
      {weight: 10 - mix.earlier, arbitrary: fc.constant(false)},
      {weight: mix.earlier, arbitrary: fc.constant(true)},
    ),
    action: fc.constantFrom(...mix.actions),
    faults: fc.oneof(
      fc.array(mix.fault, {minLength: 4, maxLength: 6}),
      fc.array(mix.fault, {minLength: 1, maxLength: 1}),
      fc.array(mix.fault, {minLength: 2, maxLength: 2}),
    ),
  });
  return fc.array(step, {minLength: 10, maxLength: 60});
}

/** No fault at any step of a flow. */
export const NO_FAULT = fc.constant<TableFault>('none');
/** Actions of agents that swap, and nothing else. */
export const SWAP_ACTIONS: readonly Action[] = [
  'take',
  'take',
  'unload',
  'unload',
  'load',
  'report',
  'resume',
];

interface Site {
  readonly table: SteppedTable;
  readonly targets: readonly SteppedTarget[];
  /** Capacity floor by generation, starting at 1. */
  readonly floors: readonly number[];
}

interface SiteSize {
  readonly targets: number;
  readonly floors: readonly number[];
}

/**
 * Arbitrary site sizes. Few targets contend more often; the floor rises once.
 */
export const arbitrarySiteSize: fc.Arbitrary<SiteSize> = fc
  .constantFrom(2, 2, 3, MAX_TARGETS)
  .chain(targets =>
    fc
      .array(fc.integer({min: 1, max: targets - 1}), {
        minLength: 2,
        maxLength: 2,
      })
      .map(floors => ({targets, floors: [0, ...floors.sort()]})),
  );

/** Creates targets that all serve, with agents that have reported it. */
export function createSite({targets: count, floors}: SiteSize): Site {
  const table = createSteppedTable();
  const targets = Array.from({length: count}, (_, index) =>
    createSteppedTarget(`engine-${index}`),
  );
  const site = {table, targets, floors};
  for (const target of targets) {
    startAgent(table, target);
    runAction(site, target, currentAgent(target), 'fence');
    runAction(site, target, currentAgent(target), 'report');
    for (let hop = 0; hop < 2; hop += 1) currentAgent(target).advance('none');
  }
  return site;
}

/** Returns the agent in charge of a target. */
export function currentAgent(target: SteppedTarget): SteppedAgent {
  const agent = target.agents.at(-1);
  if (agent === undefined) throw new Error('target without agent');
  return agent;
}

/** Runs one step. */
export function runStep(site: Site, step: Step): void {
  const target = site.targets[step.target % site.targets.length];
  if (target === undefined) throw new Error('no such target');
  const agent = step.earlier ? target.agents.at(-2) : currentAgent(target);
  if (agent === undefined) return;
  runAction(site, target, agent, step.action);
  for (const fault of step.faults) agent.advance(fault);
}

/** Runs one action of an agent; checks the capacity after an unload. */
export function runAction(
  site: Site,
  target: SteppedTarget,
  agent: SteppedAgent,
  kind: Step['action'],
): void {
  const {table, targets} = site;
  const isObeyed = !target.dead && agent.incarnation >= target.highestFencing;
  switch (kind) {
    case 'take': {
      const request = requestOf(site, agent);
      const floor = site.floors[writtenGeneration(table)] ?? 0;
      agent.permitFor = {floor, deaths: deaths(targets)};
      agent.begin(agent.activation.takePermit(request));
      break;
    }
    case 'report':
      agent.begin(
        agent.activation.reportServing({
          generation: agent.generation,
          loaded: target.loaded,
          fenced: target.highestFencing === agent.incarnation,
        }),
      );
      break;
    case 'withdraw':
      if (!target.loaded) {
        agent.begin(agent.activation.withdraw(agent.generation));
      }
      break;
    case 'unload':
      if (!isObeyed || !target.loaded) break;
      if (!agent.activation.holdsPermit()) break;
      target.highestFencing = agent.incarnation;
      target.loaded = false;
      checkCapacity(site, agent);
      break;
    case 'load':
      if (!isObeyed) break;
      target.highestFencing = agent.incarnation;
      target.loaded = true;
      break;
    case 'fence':
      if (isObeyed) target.highestFencing = agent.incarnation;
      break;
    case 'adopt':
      agent.generation = 2;
      break;
    case 'replace':
      startAgent(table, target);
      break;
    case 'die':
      target.dead = true;
      target.loaded = false;
      break;
    case 'land':
      table.applyLate();
      break;
    case 'resumeOvertaken':
      agent.advanceSuperseded('none');
      break;
    case 'resume':
      break;
  }
}

/** Builds an agent's request for a permit. */
export function requestOf(site: Site, agent: SteppedAgent): SwapRequest {
  const gone = site.targets.filter(target => target.dead);
  return {
    generation: agent.generation,
    capacityFloor: site.floors[agent.generation] ?? 0,
    configured: site.targets.map(target => target.name),
    gone: new Set(gone.map(target => target.name)),
  };
}

function deaths(targets: readonly SteppedTarget[]): number {
  return targets.filter(target => target.dead).length;
}

/**
 * Only targets that died since the permit was requested may reduce capacity
 * below the floor.
 */
function checkCapacity(site: Site, agent: SteppedAgent): void {
  const permit = agent.permitFor;
  if (permit === undefined) throw new Error('unload without a request');
  const serving = site.targets.filter(target => target.loaded).length;
  const since = deaths(site.targets) - permit.deaths;
  if (serving + since >= permit.floor) return;
  throw new Error(`${serving} serve, floor ${permit.floor}`);
}

/** The highest generation that a permit was ever granted with. */
function writtenGeneration(table: SteppedTable): number {
  const rows = table.history(activationKey('notes'));
  const generations = rows.map(
    row => (row.value as {generation: number}).generation,
  );
  return Math.max(1, ...generations);
}

/** Asserts that capacity stays at the floor in every run of a mix. */
export function assertFloorHolds(mix: ActionMix): void {
  fc.assert(
    fc.property(arbitrarySiteSize, stepsOf(mix), (size, steps) => {
      const site = createSite(size);
      for (const step of steps) runStep(site, step);
    }),
    propertySettings(mix.runs),
  );
}

/** Creates two targets, of which one must serve, and returns the first one. */
export function createPair(): {
  readonly site: Site;
  readonly target: SteppedTarget;
  readonly agent: SteppedAgent;
} {
  const site = createSite({targets: 2, floors: [0, 1, 1]});
  const [target] = site.targets;
  if (target === undefined) throw new Error('no target');
  return {site, target, agent: currentAgent(target)};
}

/** Returns a target's state in the activation row. */
export function stateOf(site: Site, target: SteppedTarget): string | undefined {
  const row = site.table.row(activationKey('notes'));
  return parseActivationRow(row).unwrap().targets[target.name]?.state;
}
