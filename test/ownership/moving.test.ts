import {
  findAwaitedProcesses,
  mayOrder,
  mayServe,
  type Owner,
  type ProcessReport,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {tableFault} from '../fixtures/faulty_table';
import {
  createMovingSite,
  type MovingSite,
  TARGET,
  WORKSPACE,
} from '../fixtures/moving_site';
import {propertySettings} from '../fixtures/property_settings';

const anyProcess = fc.nat(5);
const mover = fc.nat(1);
const owner = fc.constantFrom<Owner>('older-system', 'hibiscusbeam');

interface Step {
  readonly run: (site: MovingSite) => void;
  readonly toString: () => string;
}

function weightedStep<Value>(
  weight: number,
  name: string,
  values: fc.Arbitrary<Value>,
  run: (site: MovingSite, value: Value) => void,
) {
  const arbitrary = values.map((value): Step => ({
    run: site => run(site, value),
    toString: () => `${name} ${JSON.stringify(value)}`,
  }));
  return {weight, arbitrary};
}

const step = fc.oneof(
  weightedStep(3, 'own', owner, (site, value) => site.setOwner(value)),
  weightedStep(3, 'mover', mover, (site, value) =>
    site.startMover(value, 'forward'),
  ),
  weightedStep(1, 'back', mover, (site, value) =>
    site.startMover(value, 'back'),
  ),
  weightedStep(
    16,
    'run',
    fc.tuple(mover, tableFault),
    (site, [number, fault]) => site.stepMover(number, fault),
  ),
  weightedStep(6, 'carry', mover, runRound),
  weightedStep(
    6,
    'adopt',
    fc.tuple(anyProcess, fc.nat(12)),
    (site, [one, two]) => site.adopt(one, two),
  ),
  weightedStep(3, 'adopt all', fc.constant(0), adoptAll),
  weightedStep(4, 'serve', anyProcess, (site, value) => site.serve(value)),
  weightedStep(4, 'finish', anyProcess, (site, value) => site.finish(value)),
  weightedStep(1, 'freeze', anyProcess, (site, value) =>
    site.freeze(value, true),
  ),
  weightedStep(2, 'wake', anyProcess, (site, value) =>
    site.freeze(value, false),
  ),
  weightedStep(1, 'kill', anyProcess, (site, value) => site.kill(value)),
  weightedStep(2, 'join', fc.nat(63), (site, value) => site.join(value)),
  weightedStep(1, 'list', fc.constant(0), site => site.list()),
  weightedStep(1, 'late', fc.constant(0), site => site.applyLate()),
);

/** Runs a mover without faults for one whole round. */
function runRound(site: MovingSite, number: number): void {
  for (let steps = 0; steps < 16; steps += 1) site.stepMover(number, 'none');
}

/** All listed processes adopt the head; new ones may lag. */
function adoptAll(site: MovingSite): void {
  const head = site.generation();
  site.processes.forEach(({isListed}, position) => {
    if (isListed) site.adopt(position, head);
  });
}

function assertAfterEachStep(assertion: (site: MovingSite) => void): void {
  const steps = fc.array(step, {minLength: 30, maxLength: 120});
  fc.assert(
    fc.property(steps, taken => {
      const site = createMovingSite();
      for (const {run} of taken) {
        run(site);
        assertion(site);
      }
    }),
    propertySettings(500),
  );
}

describe('a move between the systems', () => {
  // An entry that was frozen, or that has just started and is on no list, still
  // serves the workspace while the older system has begun to. Requests of the
  // workspace would be executed twice.
  test('a workspace is never served by both sides', () => {
    assertAfterEachStep(site =>
      expect(site.sidesServing().length).toBeLessThan(2),
    );
  });

  // If both systems gave orders, a target would load two versions in turn.
  test('a target never gets orders from both sides', () => {
    assertAfterEachStep(site =>
      expect(site.sidesOrdering().length).toBeLessThan(2),
    );
  });

  test('opens on the other side and back again once all processes have closed', () => {
    const site = createMovingSite();
    for (const side of ['older-system', 'hibiscusbeam'] as const) {
      site.setOwner(side);
      expect(site.openMoves()).toHaveLength(1);
      site.startMover(0, 'forward');
      runRound(site, 0);
      expect(site.openMoves()).toHaveLength(1);
      adoptAll(site);
      runRound(site, 0);
      runRound(site, 0);
      expect(site.openMoves()).toEqual([]);
      adoptAll(site);
      expect(site.sidesServing()).toEqual([side]);
      expect(site.sidesOrdering()).toEqual([side]);
    }
  });

  // The platform fails between closing and opening, and the process that ran
  // the move is replaced. Without resuming from the rows, the workspace would
  // stay closed forever.
  test('resumes from its rows after an outage and a replacement', () => {
    const site = createMovingSite();
    site.setOwner('older-system');
    site.startMover(0, 'forward');
    adoptAll(site);
    for (let steps = 0; steps < 40; steps += 1) {
      site.stepMover(0, 'unavailable');
    }
    expect(site.openMoves()).toHaveLength(1);
    site.startMover(1, 'forward');
    runRound(site, 1);
    runRound(site, 0);
    adoptAll(site);
    expect(site.openMoves()).toEqual([]);
    expect(site.sidesServing()).toEqual(['older-system']);
  });

  // One process cancels a move while another one, which has already read the
  // move's row, is about to open it. Its stale write would undo the
  // cancellation.
  test('a superseded mover changes nothing', () => {
    const site = createMovingSite();
    site.setOwner('older-system');
    site.startMover(0, 'forward');
    adoptAll(site);
    // It reads the move's row, four reports and the reports' end, then freezes.
    for (let steps = 0; steps < 6; steps += 1) site.stepMover(0, 'none');
    site.startMover(1, 'back');
    runRound(site, 1);
    adoptAll(site);
    expect(site.sidesServing()).toEqual(['hibiscusbeam']);
    const generation = site.generation();
    runRound(site, 0);
    expect(site.generation()).toBe(generation);
  });
});

describe('the awaited processes', () => {
  const workspace = {
    kind: 'workspace' as const,
    name: WORKSPACE,
    owner: 'older-system' as const,
    openAfter: true,
  };

  function reports(name: string, side: Owner): ProcessReport {
    return {
      kind: 'reports',
      process: name,
      side,
      generation: 5,
      busyTargets: [],
      busyWorkspaces: [],
      heardOf: [],
    };
  }

  // If the older system is unreachable, no report shows that it is behind.
  // Opening this side would leave it serving.
  test('include the older system until it has reported', () => {
    const ours = reports('entry-1', 'hibiscusbeam');
    expect(findAwaitedProcesses(5, [workspace], [ours])).toEqual([
      {process: 'older-system', reason: 'noWordFromOlderSystem'},
    ]);
    const older = reports('older-1', 'older-system');
    expect(findAwaitedProcesses(5, [workspace], [ours, older])).toEqual([]);
  });

  test('include a process with orders in progress for a moved target', () => {
    const older = reports('older-1', 'older-system');
    const target = {...workspace, kind: 'target' as const, name: TARGET};
    const busy = {...reports('a', 'hibiscusbeam'), busyTargets: [TARGET]};
    expect(findAwaitedProcesses(5, [target], [busy, older])).toEqual([
      {process: 'a', reason: 'busy'},
    ]);
  });

  test('an item that is not configured may get neither orders nor requests', () => {
    const empty = {
      targets: {},
      models: {},
      services: {},
      workspaces: {},
      olderSystemSwitchedOff: false,
    };
    expect(mayOrder('constructor', empty)).toBe(false);
    expect(mayServe('constructor', empty)).toBe(false);
  });
});
