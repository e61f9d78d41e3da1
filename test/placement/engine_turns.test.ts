import {createTargetRegistry} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {engineLoad, engineRequest, engineTarget} from '../fixtures/placement';

const ENTRIES = Array.from({length: 14}, (_, index) => ({
  instance: `entry-${index}`,
  zone: 'north',
}));

/** Registries of all entries with one idle engine. */
function registriesOfIdleEngine(slots: number) {
  const target = engineTarget('engine', {slots});
  return ENTRIES.map(entry => {
    const registry = createTargetRegistry(entry);
    registry.setEntries(ENTRIES);
    registry.list([target], 0);
    registry.report(engineLoad('engine', {held: target.held ?? []}), 0);
    return registry;
  });
}

const mayStart = (
  registry: ReturnType<typeof createTargetRegistry>,
  now: number,
) => registry.choose(engineRequest({now})).kind === 'chosen';

// An idle engine is reported every 500 ms. Three of 14 entries have a turn at a
// report; without rotation the others keep their requests waiting until the
// next one.
test('turns at an idle engine rotate between its reports', () => {
  const registries = registriesOfIdleEngine(12);
  const turns = [0, 100, 200, 300, 400].map(now =>
    registries.map(registry => mayStart(registry, now)),
  );
  for (const each of turns) expect(each.filter(Boolean)).toHaveLength(3);
  const served = registries.filter((_, entry) =>
    turns.some(each => each[entry]),
  );
  expect(served.length).toBeGreaterThan(6);
});

test('an entry fills no more than its share before the next report', () => {
  const [registry] = registriesOfIdleEngine(12).filter(each =>
    mayStart(each, 0),
  );
  const target = engineTarget('engine', {slots: 12});
  registry!.begin(target, {promptTime: 1, onIncarnationEnded: () => undefined});
  expect([0, 150, 250, 350].some(now => mayStart(registry!, now))).toBe(false);
});
