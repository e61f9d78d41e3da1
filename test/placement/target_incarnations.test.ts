import {createTargetRegistry} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {
  engineLoad,
  engineRequest,
  engineTarget,
  HELD_VERSIONS,
} from '../fixtures/placement';

const row = (born: number | undefined, held = HELD_VERSIONS) =>
  engineTarget('engine', {born, held});

const load = (born: number | undefined, held = HELD_VERSIONS) =>
  engineLoad('engine', {born, held});

const need = (now: number) => engineRequest({now});

function createRegistry() {
  return createTargetRegistry({instance: 'entry', zone: 'north'});
}

// An engine restarts under its id and holds nothing. Its agent reports so at
// once, while the list still has the row of the previous incarnation. No
// request may rely on that row, even if the agent falls silent.
test('a row of a previous incarnation does not show what is held', () => {
  const registry = createRegistry();
  registry.list([row(100)], 0);
  registry.report(load(100), 0);
  expect(registry.choose(need(10))).toMatchObject({kind: 'chosen'});
  registry.report(load(200, []), 20);
  registry.list([row(100)], 30);
  expect(registry.choose(need(40))).toEqual({kind: 'none'});
});

// A delayed report of the previous incarnation arrives after the list has shown
// the new one. It must not make the new incarnation hold weights.
test('a late report of a previous incarnation is dropped', () => {
  const registry = createRegistry();
  registry.list([row(100)], 0);
  registry.list([row(200, [])], 10);
  registry.report(load(100), 20);
  expect(registry.choose(need(30))).toEqual({kind: 'none'});
});

test('reports before the first list identify the incarnation too', () => {
  const registry = createRegistry();
  registry.report(load(200, []), 0);
  registry.list([row(100)], 10);
  expect(registry.choose(need(20))).toEqual({kind: 'none'});
});

// The previous incarnation failed requests and is avoided for seconds. The new
// one has not failed any.
test('failures of a previous incarnation are forgotten', () => {
  const registry = createRegistry();
  const other = {...row(undefined), instance: 'other', address: 'other:1'};
  const far = {...other, zone: 'south'};
  registry.list([row(100), far], 0);
  for (let i = 0; i < 4; i += 1) registry.recordFailure(row(100), 10);
  expect(registry.choose(need(20))).toMatchObject({
    target: {instance: 'other'},
  });
  registry.list([row(200), far], 30);
  expect(registry.choose(need(40))).toMatchObject({
    target: {instance: 'engine'},
  });
});

// Connections to a dead engine may stay silent forever. Its streams must
// continue elsewhere as soon as its new incarnation is known, not seconds
// later.
test('ends requests in flight at a previous incarnation exactly once', () => {
  const registry = createRegistry();
  registry.list([row(100)], 0);
  let ended = 0;
  registry.begin(row(100), {
    promptTime: 0,
    onIncarnationEnded: () => (ended += 1),
  });
  const inFlight = registry.begin(row(100), {
    promptTime: 0,
    onIncarnationEnded: () => (ended += 10),
  });
  inFlight.end();
  registry.report(load(200, []), 10);
  registry.list([row(200, [])], 20);
  registry.report(load(200, []), 30);
  expect(ended).toBe(1);
});

// A plain target may have accepted the request in its new incarnation before
// the list shows it, so the response must not be discarded.
test('does not end requests at a plain target', () => {
  const registry = createRegistry();
  const plain = (born: number) => ({...row(born), held: undefined});
  registry.list([plain(100)], 0);
  let ended = 0;
  registry.begin(plain(100), {
    promptTime: 0,
    onIncarnationEnded: () => (ended += 1),
  });
  registry.list([plain(200)], 10);
  expect(ended).toBe(0);
});

// The clock of an engine's machine is set back before a restart. The new
// incarnation looks older than the previous one but must still be used.
test('an incarnation with an earlier start counts once the previous one is silent', () => {
  const registry = createRegistry();
  registry.list([row(200)], 0);
  registry.report(load(200), 0);
  registry.list([row(100)], 2_500);
  registry.report(load(100), 2_600);
  expect(registry.choose(need(2_700))).toMatchObject({kind: 'chosen'});
});

// All engines of a site lose power. The list still shows what they held, and no
// agent reports yet. A request that was rejected must not be sent there again.
test('a row that a target denies is ignored until there is newer data', () => {
  const registry = createRegistry();
  registry.list([row(100)], 0);
  registry.recordMisdirected(row(100), 10);
  registry.list([row(100)], 20);
  expect(registry.choose(need(30))).toEqual({kind: 'none'});
  registry.report(load(100), 40);
  expect(registry.choose(need(50))).toMatchObject({kind: 'chosen'});
});

test('a row that changes after a denial is used again', () => {
  const registry = createRegistry();
  registry.list([row(100, [])], 0);
  registry.recordMisdirected(row(100, []), 10);
  registry.list([row(100)], 20);
  expect(registry.choose(need(30))).toMatchObject({kind: 'chosen'});
});

type Update =
  | {readonly kind: 'line'; readonly born: number}
  | {readonly kind: 'report'; readonly born: number};

const update: fc.Arbitrary<Update> = fc.record({
  kind: fc.constantFrom('line' as const, 'report' as const),
  born: fc.integer({min: 1, max: 5}),
});

// Only the newest incarnation holds nothing; all previous ones held the model.
// Once the newest one has reported, nothing may be sent there, whatever the
// order, delay and number of rows and reports.
test('no order of rows and reports brings a previous incarnation back', () => {
  fc.assert(
    fc.property(fc.array(update, {maxLength: 30}), updates => {
      const registry = createRegistry();
      const newest = 6;
      let now = 0;
      const apply = ({kind, born}: Update): void => {
        const held = born === newest ? [] : HELD_VERSIONS;
        if (kind === 'line') registry.list([row(born, held)], (now += 10));
        else registry.report(load(born, held), (now += 10));
      };
      updates.forEach(apply);
      apply({kind: 'report', born: newest});
      updates.forEach(apply);
      apply({kind: 'line', born: 1});
      expect(registry.choose(need(now))).toEqual({kind: 'none'});
    }),
    propertySettings(300),
  );
});
