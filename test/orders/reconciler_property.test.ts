import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {VERSION_SIZE} from './fake_engine';
import {createSteppedAgent, type OrderFate} from './stepped_agent';
import {
  PEACE,
  VERSIONS,
  type Step,
  lag,
  createWorld,
  take,
  settle,
  worlds,
  steps,
  versionsWanted,
} from './reconciler_world';

describe('the reconciler of a target', () => {
  // An earlier agent wakes and unloads what its successor counts as serving:
  // nothing differed, so the successor had never told the engine its number.
  test('tells a target that checks its number though nothing differs', () => {
    const world = createWorld(undefined);
    const next = createSteppedAgent(world.engine, world.verified, {
      fencing: 8,
      checkLease: undefined,
      engineMemory: undefined,
    });
    next.wanted = world.agent.wanted;
    next.observe(0);
    next.pass();
    for (const each of PEACE) next.hop(world.now, each, 0);
    expect(next.reconciler.isFenced(world.now)).toBe(true);
    const refused = world.engine.order(
      {kind: 'unload', versionDigest: 'notes-1'},
      7,
    );
    expect(refused).toEqual({kind: 'staleFencing', highest: 8});
  });

  // A dealer's summary stops in mid-sentence, or a model answers nowhere for
  // a minute: a version was unloaded under a request, or the last version went
  // on the word of a late report, or a version was loaded before it was whole.
  test('never cuts a request, loads a partial version or empties unpermitted', () => {
    fc.assert(
      fc.property(worlds, steps, (engineMemory, taken) => {
        const world = createWorld(engineMemory);
        for (const next of taken) take(world, next);
      }),
      propertySettings(1_500),
    );
  });

  // A request begins on a version at the moment its unload is on the way, and
  // its answer breaks off.
  test('keeps a version closed from the plan of its unload until it is gone', () => {
    const world = createWorld(4 * VERSION_SIZE);
    const mayStart = (): boolean => world.agent.reconciler.mayStart('notes-1');
    const round = (count: number): void => {
      take(world, {kind: 'round', lag: 0, fates: PEACE.slice(0, count)});
    };
    take(world, {kind: 'want', notes: 'notes-2', quotes: true});
    round(12);
    take(world, {kind: 'finishLoads'});
    expect(mayStart()).toBe(true);
    round(0);
    expect(mayStart()).toBe(false);
    round(1);
    expect(world.agent.nextEffect()?.kind).toBe('sendOrder');
    take(world, {kind: 'want', notes: 'notes-1', quotes: true});
    round(0);
    expect(mayStart()).toBe(false);
  });

  // The same sight when operators change their minds: the version that was
  // just ordered away is wanted again, and a late report still shows it.
  test('holds while two versions are wanted in turns', () => {
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
        const world = createWorld(4 * VERSION_SIZE);
        for (const next of taken) take(world, next);
      }),
      propertySettings(1_000),
    );
  });

  // An operator's confirmed intent never arrives on one engine: an order was
  // lost, the engine restarted, and nothing compared the two again.
  test('brings the engine to the wanted state once faults end', () => {
    fc.assert(
      fc.property(worlds, steps, (engineMemory, taken) => {
        const world = createWorld(engineMemory);
        for (const next of taken) take(world, next);
        take(world, {kind: 'want', notes: 'notes-2', quotes: true});
        settle(world);
        const loaded = world.engine.loaded().map(each => each.versionDigest);
        expect([...loaded].sort()).toEqual(
          [...versionsWanted(world.agent.wanted)].sort(),
        );
        expect(world.agent.permits.size).toBe(0);
        expect(world.agent.reconciler.isFenced(world.now)).toBe(true);
      }),
      propertySettings(400),
    );
  });

  // During a move an engine flips between two systems' versions: both gave it
  // orders, one of them in the middle of a round that had begun before.
  test('gives no order to what the older system owns', () => {
    fc.assert(
      fc.property(worlds, steps, (engineMemory, taken) => {
        const world = createWorld(engineMemory);
        for (const next of taken) take(world, next);
      }),
      propertySettings(500),
    );
  });

  test('routes only to versions that the engine has reported', () => {
    fc.assert(
      fc.property(worlds, steps, (engineMemory, taken) => {
        const world = createWorld(engineMemory);
        const reported = new Set(
          world.engine.loaded().map(each => each.versionDigest),
        );
        for (const next of taken) {
          take(world, next);
          for (const each of world.engine.loaded()) {
            reported.add(each.versionDigest);
          }
          for (const versionDigest of VERSIONS.keys()) {
            if (!world.agent.reconciler.mayStart(versionDigest)) continue;
            expect(reported.has(versionDigest)).toBe(true);
          }
        }
      }),
      propertySettings(500),
    );
  });
});
