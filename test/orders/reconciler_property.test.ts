import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {VERSION_SIZE} from './fake_engine';
import {createSteppedAgent, type OrderFate} from './stepped_agent';
import {
  NO_FAULTS,
  VERSIONS,
  type Step,
  lag,
  startSimulation,
  applyStep,
  settle,
  engineMemories,
  steps,
  versionsWanted,
} from './reconciler_simulation';

describe('the reconciler of a target', () => {
  // An earlier agent resumes and unloads a version that its successor counts as
  // serving. The successor found no difference and so had never sent the engine
  // its fencing number.
  test('sends its fencing number to a target that checks it even if nothing differs', () => {
    const run = startSimulation(undefined);
    const next = createSteppedAgent(run.engine, run.verified, {
      fencing: 8,
      checkLease: undefined,
      engineMemory: undefined,
    });
    next.wanted = run.agent.wanted;
    next.observe(0);
    next.pass();
    for (const each of NO_FAULTS) next.advance(run.now, each, 0);
    expect(next.reconciler.isFenced(run.now)).toBe(true);
    const refused = run.engine.order(
      {kind: 'unload', versionDigest: 'notes-1'},
      7,
    );
    expect(refused).toEqual({kind: 'staleFencing', highest: 8});
  });

  // An answer breaks off or a model is not served for a minute, because a
  // version was unloaded during a request, the last version was unloaded
  // because of a late report, or a version was loaded before it was complete.
  test('never cuts a request, loads a partial version or unloads the last version without a permit', () => {
    fc.assert(
      fc.property(engineMemories, steps, (engineMemory, taken) => {
        const run = startSimulation(engineMemory);
        for (const next of taken) applyStep(run, next);
      }),
      propertySettings(1_500),
    );
  });

  // A request starts on a version whose unload is already in flight, and its
  // answer breaks off.
  test('keeps a version closed from the plan of its unload until it is gone', () => {
    const run = startSimulation(4 * VERSION_SIZE);
    const mayStart = (): boolean => run.agent.reconciler.mayStart('notes-1');
    const round = (count: number): void => {
      applyStep(run, {kind: 'round', lag: 0, fates: NO_FAULTS.slice(0, count)});
    };
    applyStep(run, {kind: 'want', notes: 'notes-2', quotes: true});
    round(12);
    applyStep(run, {kind: 'finishLoads'});
    expect(mayStart()).toBe(true);
    round(0);
    expect(mayStart()).toBe(false);
    round(1);
    expect(run.agent.nextEffect()?.kind).toBe('sendOrder');
    applyStep(run, {kind: 'want', notes: 'notes-1', quotes: true});
    round(0);
    expect(mayStart()).toBe(false);
  });

  // The same failure when operators change their minds: a version that was just
  // unloaded is wanted again, and a late report still shows it.
  test('stays correct while two versions are wanted alternately', () => {
    const turn: fc.Arbitrary<Step> = fc.oneof(
      {
        weight: 2,
        arbitrary: fc.record({
          kind: fc.constant<'want'>('want'),
          notes: fc.constantFrom('notes-1', 'notes-2'),
          quotes: fc.constant(true),
        }),
      },
      {
        weight: 5,
        arbitrary: fc.record({
          kind: fc.constant<'round'>('round'),
          lag,
          fates: fc.array(fc.constant<OrderFate>('none'), {maxLength: 5}),
        }),
      },
      {
        weight: 4,
        arbitrary: fc.record({
          kind: fc.constantFrom(
            'finishLoads' as const,
            'finishLoads' as const,
            'request' as const,
            'finish' as const,
          ),
        }),
      },
    );
    fc.assert(
      fc.property(fc.array(turn, {minLength: 20, maxLength: 60}), taken => {
        const run = startSimulation(4 * VERSION_SIZE);
        for (const next of taken) applyStep(run, next);
      }),
      propertySettings(1_000),
    );
  });

  // An order was lost or the engine restarted. If wanted and reported state
  // were not compared again, the confirmed configuration would never reach the
  // engine.
  test('brings the engine to the wanted state once faults end', () => {
    fc.assert(
      fc.property(engineMemories, steps, (engineMemory, taken) => {
        const run = startSimulation(engineMemory);
        for (const next of taken) applyStep(run, next);
        applyStep(run, {kind: 'want', notes: 'notes-2', quotes: true});
        settle(run);
        const loaded = run.engine.loaded().map(each => each.versionDigest);
        expect([...loaded].sort()).toEqual(
          [...versionsWanted(run.agent.wanted)].sort(),
        );
        expect(run.agent.permits.size).toBe(0);
        expect(run.agent.reconciler.isFenced(run.now)).toBe(true);
      }),
      propertySettings(400),
    );
  });

  // During a move between systems an engine flips between both systems'
  // versions, because a round of orders that started before the move continued.
  test('gives no order to a target that the older system owns', () => {
    fc.assert(
      fc.property(engineMemories, steps, (engineMemory, taken) => {
        const run = startSimulation(engineMemory);
        for (const next of taken) applyStep(run, next);
      }),
      propertySettings(500),
    );
  });

  test('routes only to versions that the engine has reported', () => {
    fc.assert(
      fc.property(engineMemories, steps, (engineMemory, taken) => {
        const run = startSimulation(engineMemory);
        const reported = new Set(
          run.engine.loaded().map(each => each.versionDigest),
        );
        for (const next of taken) {
          applyStep(run, next);
          for (const each of run.engine.loaded()) {
            reported.add(each.versionDigest);
          }
          for (const versionDigest of VERSIONS.keys()) {
            if (!run.agent.reconciler.mayStart(versionDigest)) continue;
            expect(reported.has(versionDigest)).toBe(true);
          }
        }
      }),
      propertySettings(500),
    );
  });
});
