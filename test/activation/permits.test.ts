import {activationKey} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {tableFault, type TableFault} from '../fixtures/stepped_table';
import {startAgent} from './stepped_target';
import {
  type Step,
  stepsOf,
  NO_FAULT,
  SWAP_ACTIONS,
  arbitrarySiteSize,
  createSite,
  currentAgent,
  runStep,
  runAction,
  requestOf,
  assertFloorHolds,
  createPair,
  stateOf,
} from './permits_site';

describe('the permits of a model', () => {
  // Several agents request a permit at the same moment. If too many got one,
  // more engines than planned would be without a version during a rollout.
  test('keep capacity at the floor through races', () => {
    const actions = [...SWAP_ACTIONS, 'resumeOvertaken'] as const;
    assertFloorHolds({actions, fault: NO_FAULT, earlier: 0, runs: 600});
  });

  // The same failure after replies were lost and writes arrived late.
  test('keep capacity at the floor through lost and late writes', () => {
    const actions = [...SWAP_ACTIONS, 'land', 'resumeOvertaken'] as const;
    assertFloorHolds({actions, fault: tableFault, earlier: 0, runs: 800});
  });

  // The same failure after an agent was paused with a permit, replaced, and
  // resumed.
  test('keep capacity at the floor through replacements', () => {
    const actions = [...SWAP_ACTIONS, 'fence', 'replace', 'report'] as const;
    assertFloorHolds({actions, fault: NO_FAULT, earlier: 4, runs: 3_000});
  });

  // The same failure with engines that die: their death reduces capacity, but
  // no swap may start that would reduce it further.
  test('let no swap start that would go below the floor after deaths', () => {
    const actions = [...SWAP_ACTIONS, ...SWAP_ACTIONS, 'die', 'land'] as const;
    assertFloorHolds({actions, fault: tableFault, earlier: 0, runs: 500});
  });

  // The same failure after an operator raised the floor: engines that had not
  // received it yet still swapped by the lower one.
  test('keep capacity at the floor that a later configuration raises', () => {
    const actions = [...SWAP_ACTIONS, 'adopt'] as const;
    assertFloorHolds({actions, fault: NO_FAULT, earlier: 0, runs: 600});
  });

  // A permit that a dead agent holds forever would block the swaps of all other
  // targets, and a version would never reach the last engines.
  test('let every target swap once faults end', () => {
    const actions = [...SWAP_ACTIONS, 'replace', 'land'] as const;
    const steps = stepsOf({actions, fault: tableFault, earlier: 2, runs: 0});
    const noFaults: TableFault[] = new Array<TableFault>(6).fill('none');
    fc.assert(
      fc.property(arbitrarySiteSize, steps, (size, taken) => {
        const site = createSite(size);
        for (const next of taken) runStep(site, next);
        const runActions = (
          target: number,
          ...kinds: Step['action'][]
        ): void => {
          for (const kind of kinds) {
            runStep(site, {
              target,
              earlier: false,
              action: kind,
              faults: noFaults,
            });
          }
        };
        for (let late = 0; late < 80; late += 1) site.table.applyLate();
        for (const target of site.targets.keys()) {
          runActions(target, 'replace', 'adopt', 'load', 'fence', 'report');
        }
        for (const target of site.targets.keys()) {
          runActions(target, 'take', 'unload');
          expect(site.targets[target]?.loaded).toBe(false);
          runActions(target, 'load', 'report');
        }
      }),
      propertySettings(150),
    );
  });

  // A replaced agent resumes with a report in flight that counts its target as
  // serving, while its successor has started a swap.
  test('are not undone by the late report of a replaced agent', () => {
    const {site, target, agent: earlier} = createPair();
    runAction(site, target, earlier, 'take');
    for (let hop = 0; hop < 2; hop += 1) earlier.advance('none');
    runAction(site, target, earlier, 'report');
    earlier.advance('none');
    startAgent(site.table, target);
    const later = currentAgent(target);
    runAction(site, target, later, 'fence');
    runAction(site, target, later, 'take');
    for (let hop = 0; hop < 3; hop += 1) later.advance('none');
    expect(later.activation.holdsPermit()).toBe(true);
    for (let hop = 0; hop < 3; hop += 1) earlier.advance('none');
    expect(stateOf(site, target)).toBe('swapping');
  });

  // The same with one agent: the reply to its permit was lost, its next report
  // is still in flight, and it requests the permit again.
  test('are not undone by a late report of the same agent', () => {
    const {site, target, agent} = createPair();
    runAction(site, target, agent, 'take');
    for (const fault of ['none', 'lost', 'unavailable'] as const) {
      agent.advance(fault);
    }
    runAction(site, target, agent, 'report');
    for (const fault of ['none', 'late', 'unavailable'] as const) {
      agent.advance(fault);
    }
    runAction(site, target, agent, 'take');
    for (let hop = 0; hop < 3; hop += 1) agent.advance('none');
    expect(agent.activation.holdsPermit()).toBe(true);
    site.table.applyLate();
    expect(stateOf(site, target)).toBe('swapping');
  });

  // An agent reports that it serves while its permit request is still in
  // flight. It must not unload when the reply to that request arrives.
  test('are not granted by a request that a later report superseded', () => {
    const {site, target, agent} = createPair();
    runAction(site, target, agent, 'take');
    agent.advance('none');
    runAction(site, target, agent, 'report');
    agent.advanceSuperseded('none');
    expect(agent.activation.holdsPermit()).toBe(false);
    for (let hop = 0; hop < 3; hop += 1) agent.advance('none');
    expect(stateOf(site, target)).toBe('serving');
    expect(agent.activation.holdsPermit()).toBe(false);
  });

  test('are refused immediately while the platform is down', () => {
    const {site, target, agent} = createPair();
    const flow = agent.activation.takePermit(requestOf(site, agent));
    flow.next();
    const end = flow.next(site.table.read('activation/notes', 'unavailable'));
    expect(end.value).toMatchObject({val: {kind: 'platformUnavailable'}});
    expect(agent.activation.holdsPermit()).toBe(false);
    expect(target.loaded).toBe(true);
  });

  test('are stored with the serving targets in one row per model', () => {
    const {site} = createPair();
    const runActions = {
      target: 0,
      earlier: false,
      faults: ['none', 'none'],
    } as const;
    runStep(site, {...runActions, action: 'take'});
    expect(site.table.row(activationKey('notes'))?.value).toMatchObject({
      generation: 1,
      targets: {
        'engine-0': {state: 'swapping', incarnation: 1},
        'engine-1': {state: 'serving', incarnation: 1},
      },
    });
  });
});
