import {
  activationKey,
  parseActivationRow,
  type SwapRequest,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {
  createSteppedTable,
  tableFault,
  type SteppedTable,
  type TableFault,
} from '../fixtures/stepped_table';
import {
  createSteppedTarget,
  startAgent,
  type SteppedAgent,
  type SteppedTarget,
} from './stepped_target';

const MOST_TARGETS = 4;

interface Step {
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

interface Mix {
  readonly actions: readonly Action[];
  readonly fault: fc.Arbitrary<TableFault>;
  readonly earlier: number;
  readonly runs: number;
}

/** Steps of a mix; an action that stands twice comes twice as often. */
function stepsOf(mix: Mix): fc.Arbitrary<readonly Step[]> {
  const step = fc.record({
    target: fc.nat({max: MOST_TARGETS - 1}),
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

const NO_FAULT = fc.constant<TableFault>('none');
const SWAPS: readonly Action[] = [
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
  /** Capacity floor by generation, from 1 on. */
  readonly floors: readonly number[];
}

interface SiteSize {
  readonly targets: number;
  readonly floors: readonly number[];
}

/** Few targets meet one another more often; the floor rises once. */
const sizes: fc.Arbitrary<SiteSize> = fc
  .constantFrom(2, 2, 3, MOST_TARGETS)
  .chain(targets =>
    fc
      .array(fc.integer({min: 1, max: targets - 1}), {
        minLength: 2,
        maxLength: 2,
      })
      .map(floors => ({targets, floors: [0, ...floors.sort()]})),
  );

function createSite({targets: count, floors}: SiteSize): Site {
  const table = createSteppedTable();
  const targets = Array.from({length: count}, (_, index) =>
    createSteppedTarget(`engine-${index}`),
  );
  const site = {table, targets, floors};
  for (const target of targets) {
    startAgent(table, target);
    act(site, target, latest(target), 'fence');
    act(site, target, latest(target), 'report');
    for (let hop = 0; hop < 2; hop += 1) latest(target).hop('none');
  }
  return site;
}

function latest(target: SteppedTarget): SteppedAgent {
  const agent = target.agents.at(-1);
  if (agent === undefined) throw new Error('target without agent');
  return agent;
}

function take(site: Site, next: Step): void {
  const target = site.targets[next.target % site.targets.length];
  if (target === undefined) throw new Error('no such target');
  const agent = next.earlier ? target.agents.at(-2) : latest(target);
  if (agent === undefined) return;
  act(site, target, agent, next.action);
  for (const fault of next.faults) agent.hop(fault);
}

function act(
  site: Site,
  target: SteppedTarget,
  agent: SteppedAgent,
  kind: Step['action'],
): void {
  const {table, targets} = site;
  const obeyed = !target.dead && agent.incarnation >= target.highestFencing;
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
      if (!obeyed || !target.loaded) break;
      if (!agent.activation.holdsPermit()) break;
      target.highestFencing = agent.incarnation;
      target.loaded = false;
      checkCapacity(site, agent);
      break;
    case 'load':
      if (!obeyed) break;
      target.highestFencing = agent.incarnation;
      target.loaded = true;
      break;
    case 'fence':
      if (obeyed) target.highestFencing = agent.incarnation;
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
      table.landLate();
      break;
    case 'resumeOvertaken':
      agent.hopOvertaken('none');
      break;
    case 'resume':
      break;
  }
}

function requestOf(site: Site, agent: SteppedAgent): SwapRequest {
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

/** Only deaths since the permit was asked for may take more than the floor. */
function checkCapacity(site: Site, agent: SteppedAgent): void {
  const permit = agent.permitFor;
  if (permit === undefined) throw new Error('unload without a request');
  const serving = site.targets.filter(target => target.loaded).length;
  const since = deaths(site.targets) - permit.deaths;
  if (serving + since >= permit.floor) return;
  throw new Error(`${serving} serve, floor ${permit.floor}`);
}

/** The highest generation by which a permit was ever given. */
function writtenGeneration(table: SteppedTable): number {
  const rows = table.history(activationKey('notes'));
  const generations = rows.map(
    row => (row.value as {generation: number}).generation,
  );
  return Math.max(1, ...generations);
}

function holdsUnder(mix: Mix): void {
  fc.assert(
    fc.property(sizes, stepsOf(mix), (size, taken) => {
      const site = createSite(size);
      for (const next of taken) take(site, next);
    }),
    propertySettings(mix.runs),
  );
}

/** Two targets of which one must serve, seen from the first one. */
function createPair(): {
  readonly site: Site;
  readonly target: SteppedTarget;
  readonly agent: SteppedAgent;
} {
  const site = createSite({targets: 2, floors: [0, 1, 1]});
  const [target] = site.targets;
  if (target === undefined) throw new Error('no target');
  return {site, target, agent: latest(target)};
}

function stateOf(site: Site, target: SteppedTarget): string | undefined {
  const row = site.table.row(activationKey('notes'));
  return parseActivationRow(row).unwrap().targets[target.name]?.state;
}

describe('the permits of a model', () => {
  // Dealers wait while a version rolls out: more engines than planned were
  // without a version at once, since several asked at the same moment.
  test('keep capacity at the floor through races', () => {
    const actions = [...SWAPS, 'resumeOvertaken'] as const;
    holdsUnder({actions, fault: NO_FAULT, earlier: 0, runs: 600});
  });

  // The same sight after replies were lost and writes came late.
  test('keep capacity at the floor through lost and late writes', () => {
    const actions = [...SWAPS, 'land', 'resumeOvertaken'] as const;
    holdsUnder({actions, fault: tableFault, earlier: 0, runs: 800});
  });

  // The same sight after an agent was paused with a permit in hand, replaced,
  // and woke.
  test('keep capacity at the floor through replacements', () => {
    const actions = [...SWAPS, 'fence', 'replace', 'report'] as const;
    holdsUnder({actions, fault: NO_FAULT, earlier: 4, runs: 3_000});
  });

  // The same sight with engines that die: their death takes capacity, but no
  // swap begins that would take more.
  test('let no swap begin that would go under the floor after deaths', () => {
    const actions = [...SWAPS, ...SWAPS, 'die', 'land'] as const;
    holdsUnder({actions, fault: tableFault, earlier: 0, runs: 500});
  });

  // The same sight after an operator raised the floor: engines that had not
  // learnt it yet still swapped by the lower one.
  test('keep capacity at the floor that a later configuration raises', () => {
    const actions = [...SWAPS, 'adopt'] as const;
    holdsUnder({actions, fault: NO_FAULT, earlier: 0, runs: 600});
  });

  // A version never reaches the last engines: a permit is held for ever by an
  // agent that died, and no other target may swap.
  test('let every target swap in turn once faults end', () => {
    const actions = [...SWAPS, 'replace', 'land'] as const;
    const steps = stepsOf({actions, fault: tableFault, earlier: 2, runs: 0});
    const calm: TableFault[] = new Array<TableFault>(6).fill('none');
    fc.assert(
      fc.property(sizes, steps, (size, taken) => {
        const site = createSite(size);
        for (const next of taken) take(site, next);
        const turn = (target: number, ...kinds: Step['action'][]): void => {
          for (const kind of kinds) {
            take(site, {target, earlier: false, action: kind, faults: calm});
          }
        };
        for (let late = 0; late < 80; late += 1) site.table.landLate();
        for (const target of site.targets.keys()) {
          turn(target, 'replace', 'adopt', 'load', 'fence', 'report');
        }
        for (const target of site.targets.keys()) {
          turn(target, 'take', 'unload');
          expect(site.targets[target]?.loaded).toBe(false);
          turn(target, 'load', 'report');
        }
      }),
      propertySettings(150),
    );
  });

  // A woken agent counts its target as serving: its report was under way when
  // it was paused, and its successor has begun a swap since.
  test('are not undone by the late report of a replaced agent', () => {
    const {site, target, agent: earlier} = createPair();
    act(site, target, earlier, 'take');
    for (let hop = 0; hop < 2; hop += 1) earlier.hop('none');
    act(site, target, earlier, 'report');
    earlier.hop('none');
    startAgent(site.table, target);
    const later = latest(target);
    act(site, target, later, 'fence');
    act(site, target, later, 'take');
    for (let hop = 0; hop < 3; hop += 1) later.hop('none');
    expect(later.activation.holdsPermit()).toBe(true);
    for (let hop = 0; hop < 3; hop += 1) earlier.hop('none');
    expect(stateOf(site, target)).toBe('swapping');
  });

  // The same with one agent: the reply to its permit was lost, its next report
  // is still on the way, and it asks for the permit again.
  test('are not undone by a late report of the same agent', () => {
    const {site, target, agent} = createPair();
    act(site, target, agent, 'take');
    for (const fault of ['none', 'lost', 'unavailable'] as const) {
      agent.hop(fault);
    }
    act(site, target, agent, 'report');
    for (const fault of ['none', 'late', 'unavailable'] as const) {
      agent.hop(fault);
    }
    act(site, target, agent, 'take');
    for (let hop = 0; hop < 3; hop += 1) agent.hop('none');
    expect(agent.activation.holdsPermit()).toBe(true);
    site.table.landLate();
    expect(stateOf(site, target)).toBe('swapping');
  });

  // An agent reports that it serves while its request for a permit is still
  // open, and unloads when the answer to that request comes.
  test('are not granted by a request that a report has overtaken', () => {
    const {site, target, agent} = createPair();
    act(site, target, agent, 'take');
    agent.hop('none');
    act(site, target, agent, 'report');
    agent.hopOvertaken('none');
    expect(agent.activation.holdsPermit()).toBe(false);
    for (let hop = 0; hop < 3; hop += 1) agent.hop('none');
    expect(stateOf(site, target)).toBe('serving');
    expect(agent.activation.holdsPermit()).toBe(false);
  });

  test('are refused at once while the platform is down', () => {
    const {site, target, agent} = createPair();
    const flow = agent.activation.takePermit(requestOf(site, agent));
    flow.next();
    const end = flow.next(site.table.read('activation/notes', 'unavailable'));
    expect(end.value).toMatchObject({val: {kind: 'platformUnavailable'}});
    expect(agent.activation.holdsPermit()).toBe(false);
    expect(target.loaded).toBe(true);
  });

  test('name who serves and who swaps in one row a model', () => {
    const {site} = createPair();
    const turn = {target: 0, earlier: false, faults: ['none', 'none']} as const;
    take(site, {...turn, action: 'take'});
    expect(site.table.row(activationKey('notes'))?.value).toMatchObject({
      generation: 1,
      targets: {
        'engine-0': {state: 'swapping', incarnation: 1},
        'engine-1': {state: 'serving', incarnation: 1},
      },
    });
  });
});
