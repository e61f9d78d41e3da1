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

function named<Value>(
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
  named(3, 'own', owner, (site, value) => site.own(value)),
  named(3, 'mover', mover, (site, value) => site.startMover(value, 'forward')),
  named(1, 'back', mover, (site, value) => site.startMover(value, 'back')),
  named(16, 'run', fc.tuple(mover, tableFault), (site, [number, fault]) =>
    site.stepMover(number, fault),
  ),
  named(6, 'carry', mover, runRound),
  named(6, 'adopt', fc.tuple(anyProcess, fc.nat(12)), (site, [one, two]) =>
    site.adopt(one, two),
  ),
  named(3, 'adopt all', fc.constant(0), adoptAll),
  named(4, 'serve', anyProcess, (site, value) => site.serve(value)),
  named(4, 'finish', anyProcess, (site, value) => site.finish(value)),
  named(1, 'freeze', anyProcess, (site, value) => site.freeze(value, true)),
  named(2, 'wake', anyProcess, (site, value) => site.freeze(value, false)),
  named(1, 'kill', anyProcess, (site, value) => site.kill(value)),
  named(2, 'join', fc.nat(63), (site, value) => site.join(value)),
  named(1, 'list', fc.constant(0), site => site.list()),
  named(1, 'late', fc.constant(0), site => site.applyLate()),
);

/** Lets a mover go on without faults for one whole round. */
function runRound(site: MovingSite, number: number): void {
  for (let steps = 0; steps < 16; steps += 1) site.stepMover(number, 'none');
}

/** All that the list shows adopt the head; newcomers may lag. */
function adoptAll(site: MovingSite): void {
  const head = site.generation();
  site.processes.forEach(({isListed}, position) => {
    if (isListed) site.adopt(position, head);
  });
}

function check(verdict: (site: MovingSite) => void): void {
  const steps = fc.array(step, {minLength: 30, maxLength: 120});
  fc.assert(
    fc.property(steps, taken => {
      const site = createMovingSite();
      for (const {run} of taken) {
        run(site);
        verdict(site);
      }
    }),
    propertySettings(500),
  );
}

describe('a move between the systems', () => {
  // A dealer's settlement runs twice: an entry that was frozen, or had just
  // started and was on no list, still serves the workspace while the older
  // system has begun to.
  test('a workspace is never served by both sides', () => {
    check(site => expect(site.sidesServing().length).toBeLessThan(2));
  });

  // A target is told to load two versions in turn: both systems order it.
  test('no target gets orders from both sides', () => {
    check(site => expect(site.sidesOrdering().length).toBeLessThan(2));
  });

  test('ends on the other side and back, once all have closed', () => {
    const site = createMovingSite();
    for (const side of ['older-system', 'hibiscusbeam'] as const) {
      site.own(side);
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

  // The platform goes down between closing and opening, and the process that
  // carried the move is replaced: the workspace would stay closed for ever.
  test('goes on from its rows after an outage and a replacement', () => {
    const site = createMovingSite();
    site.own('older-system');
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

  // One process cancels a move while another is about to open it: it read the
  // move's row before, and would undo the next move with what it read.
  test('a finisher that was overtaken changes nothing', () => {
    const site = createMovingSite();
    site.own('older-system');
    site.startMover(0, 'forward');
    adoptAll(site);
    // Row of the move, four reports and the reports' end: then it freezes.
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

describe('who is waited for', () => {
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

  // The older system's side is not reachable at all, so no report of it says
  // "behind"; opening our side would leave it serving.
  test('the older system must have reported', () => {
    const ours = reports('entry-1', 'hibiscusbeam');
    expect(findAwaitedProcesses(5, [workspace], [ours])).toEqual([
      {process: 'older-system', reason: 'noWordFromOlderSystem'},
    ]);
    const older = reports('older-1', 'older-system');
    expect(findAwaitedProcesses(5, [workspace], [ours, older])).toEqual([]);
  });

  test('a target with orders in progress is busy', () => {
    const older = reports('older-1', 'older-system');
    const target = {...workspace, kind: 'target' as const, name: TARGET};
    const busy = {...reports('a', 'hibiscusbeam'), busyTargets: [TARGET]};
    expect(findAwaitedProcesses(5, [target], [busy, older])).toEqual([
      {process: 'a', reason: 'busy'},
    ]);
  });

  test('what the configuration does not hold is not ours', () => {
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
