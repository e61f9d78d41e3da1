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
  act,
  requestOf,
  assertFloorHolds,
  createPair,
  stateOf,
} from './permits_site';

describe('the permits of a model', () => {
  // Dealers wait while a version rolls out: more engines than planned were
  // without a version at once, since several asked at the same moment.
  test('keep capacity at the floor through races', () => {
    const actions = [...SWAP_ACTIONS, 'resumeOvertaken'] as const;
    assertFloorHolds({actions, fault: NO_FAULT, earlier: 0, runs: 600});
  });

  // The same sight after replies were lost and writes came late.
  test('keep capacity at the floor through lost and late writes', () => {
    const actions = [...SWAP_ACTIONS, 'land', 'resumeOvertaken'] as const;
    assertFloorHolds({actions, fault: tableFault, earlier: 0, runs: 800});
  });

  // The same sight after an agent was paused with a permit in hand, replaced,
  // and woke.
  test('keep capacity at the floor through replacements', () => {
    const actions = [...SWAP_ACTIONS, 'fence', 'replace', 'report'] as const;
    assertFloorHolds({actions, fault: NO_FAULT, earlier: 4, runs: 3_000});
  });

  // The same sight with engines that die: their death takes capacity, but no
  // swap begins that would take more.
  test('let no swap begin that would go under the floor after deaths', () => {
    const actions = [...SWAP_ACTIONS, ...SWAP_ACTIONS, 'die', 'land'] as const;
    assertFloorHolds({actions, fault: tableFault, earlier: 0, runs: 500});
  });

  // The same sight after an operator raised the floor: engines that had not
  // learnt it yet still swapped by the lower one.
  test('keep capacity at the floor that a later configuration raises', () => {
    const actions = [...SWAP_ACTIONS, 'adopt'] as const;
    assertFloorHolds({actions, fault: NO_FAULT, earlier: 0, runs: 600});
  });

  // A version never reaches the last engines: a permit is held for ever by an
  // agent that died, and no other target may swap.
  test('let every target swap in turn once faults end', () => {
    const actions = [...SWAP_ACTIONS, 'replace', 'land'] as const;
    const steps = stepsOf({actions, fault: tableFault, earlier: 2, runs: 0});
    const calm: TableFault[] = new Array<TableFault>(6).fill('none');
    fc.assert(
      fc.property(arbitrarySiteSize, steps, (size, taken) => {
        const site = createSite(size);
        for (const next of taken) runStep(site, next);
        const turn = (target: number, ...kinds: Step['action'][]): void => {
          for (const kind of kinds) {
            runStep(site, {target, earlier: false, action: kind, faults: calm});
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
    for (let hop = 0; hop < 2; hop += 1) earlier.advance('none');
    act(site, target, earlier, 'report');
    earlier.advance('none');
    startAgent(site.table, target);
    const later = currentAgent(target);
    act(site, target, later, 'fence');
    act(site, target, later, 'take');
    for (let hop = 0; hop < 3; hop += 1) later.advance('none');
    expect(later.activation.holdsPermit()).toBe(true);
    for (let hop = 0; hop < 3; hop += 1) earlier.advance('none');
    expect(stateOf(site, target)).toBe('swapping');
  });

  // The same with one agent: the reply to its permit was lost, its next report
  // is still on the way, and it asks for the permit again.
  test('are not undone by a late report of the same agent', () => {
    const {site, target, agent} = createPair();
    act(site, target, agent, 'take');
    for (const fault of ['none', 'lost', 'unavailable'] as const) {
      agent.advance(fault);
    }
    act(site, target, agent, 'report');
    for (const fault of ['none', 'late', 'unavailable'] as const) {
      agent.advance(fault);
    }
    act(site, target, agent, 'take');
    for (let hop = 0; hop < 3; hop += 1) agent.advance('none');
    expect(agent.activation.holdsPermit()).toBe(true);
    site.table.landLate();
    expect(stateOf(site, target)).toBe('swapping');
  });

  // An agent reports that it serves while its request for a permit is still
  // open, and unloads when the answer to that request comes.
  test('are not granted by a request that a report has overtaken', () => {
    const {site, target, agent} = createPair();
    act(site, target, agent, 'take');
    agent.advance('none');
    act(site, target, agent, 'report');
    agent.advanceSuperseded('none');
    expect(agent.activation.holdsPermit()).toBe(false);
    for (let hop = 0; hop < 3; hop += 1) agent.advance('none');
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
    runStep(site, {...turn, action: 'take'});
    expect(site.table.row(activationKey('notes'))?.value).toMatchObject({
      generation: 1,
      targets: {
        'engine-0': {state: 'swapping', incarnation: 1},
        'engine-1': {state: 'serving', incarnation: 1},
      },
    });
  });
});
