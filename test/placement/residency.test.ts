import {
  ANYWHERE,
  chooseEntries,
  createTargetRegistry,
  destinationsOf,
  type PlacementRequest,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {plainRequest, plainTarget} from '../fixtures/placement';
import {propertySettings} from '../fixtures/property_settings';

const REGIONS: ReadonlyMap<string, string> = new Map([
  ['north', 'coast'],
  ['east', 'coast'],
  ['south', 'inland'],
]);

/** The last one is a zone without a known region. */
const ZONES = [...REGIONS.keys(), 'unknown'];

function createRegistry(evacuated: ReadonlySet<string> = new Set()) {
  const registry = createTargetRegistry(
    {instance: 'entry', zone: 'north'},
    () => true,
    () => true,
    {
      isEvacuated: zone => evacuated.has(zone),
      regionOf: zone => REGIONS.get(zone),
    },
  );
  registry.list(
    ZONES.map(zone => plainTarget(`${zone}-1`, {zone, slots: 2})),
    0,
  );
  return registry;
}

const within = (...regions: string[]): Partial<PlacementRequest> => ({
  destinations: {kind: 'regions', regions: new Set(regions)},
});

test('a request goes to a target of its regions only', () => {
  const choice = createRegistry().choose(plainRequest(within('inland')));
  expect(choice).toMatchObject({kind: 'chosen', target: {zone: 'south'}});
});

test('a target of a zone without a known region is in no region', () => {
  const registry = createRegistry();
  const need = within('unknown');
  expect(registry.choose(plainRequest(need))).toEqual({kind: 'none'});
  const unknown = plainTarget('unknown-1', {zone: 'unknown', slots: 2});
  expect(registry.mayStart(unknown, plainRequest(need))).toBe(false);
  expect(registry.mayStart(unknown, plainRequest())).toBe(true);
});

test('a request with an empty set of regions is refused at once', () => {
  expect(createRegistry().choose(plainRequest(within()))).toEqual({
    kind: 'nowhere',
  });
});

test('a request whose regions are all evacuated is refused at once', () => {
  const registry = createRegistry(new Set(['south']));
  const choice = registry.choose(plainRequest(within('inland')));
  expect(choice).toEqual({kind: 'evacuated'});
});

const regionList = fc.option(
  fc.uniqueArray(fc.constantFrom('coast', 'inland', 'nowhere'), {
    minLength: 1,
  }),
  {nil: undefined},
);

const step = fc.oneof(
  fc.record({
    kind: fc.constant('configure' as const),
    route: regionList,
    workspace: regionList,
  }),
  fc.record({
    kind: fc.constant('evacuate' as const),
    zone: fc.constantFrom(...ZONES),
  }),
  fc.record({
    kind: fc.constant('end' as const),
    zone: fc.constantFrom(...ZONES),
  }),
  fc.record({
    kind: fc.constant('fail' as const),
    zone: fc.constantFrom(...ZONES),
  }),
  fc.record({kind: fc.constant('choose' as const)}),
  fc.record({kind: fc.constant('send' as const)}),
);

// Requests are placed with one configuration and sent with another, while zones
// are evacuated and targets fail.
test('no send leaves its regions or reaches an evacuated zone', () => {
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), steps => {
      const evacuated = new Set<string>();
      const registry = createRegistry(evacuated);
      let destinations = ANYWHERE;
      let placed: ReturnType<typeof plainTarget>[] = [];
      const needNow = () => plainRequest({destinations});
      for (const one of steps) {
        switch (one.kind) {
          case 'configure':
            destinations = destinationsOf(
              {allowedRegions: one.route},
              {allowedRegions: one.workspace},
            );
            break;
          case 'evacuate':
            evacuated.add(one.zone);
            break;
          case 'end':
            evacuated.delete(one.zone);
            break;
          case 'fail': {
            const failed = plainTarget(`${one.zone}-1`, {zone: one.zone});
            registry.recordRefusedConnection(failed, 0);
            break;
          }
          case 'choose': {
            const choice = registry.choose(needNow());
            if (choice.kind === 'chosen') placed.push(choice.target);
            break;
          }
          case 'send': {
            const sent = placed.filter(target =>
              registry.mayStart(target, needNow()),
            );
            placed = [];
            for (const {zone} of sent) {
              expect(evacuated.has(zone)).toBe(false);
              if (destinations.kind === 'anywhere') continue;
              expect([...destinations.regions]).toContain(REGIONS.get(zone));
            }
          }
        }
      }
    }),
    propertySettings(500),
  );
});

const entry = (zone: string, name: string) => ({
  zone,
  region: REGIONS.get(zone),
  callerAddress: name,
});

const ENTRIES = [
  entry('north', 'n1'),
  entry('east', 'e1'),
  entry('east', 'e2'),
  entry('south', 's1'),
  entry('south', 's2'),
  entry('unknown', 'u1'),
];

const anyone = {zone: undefined, region: undefined, allowedRegions: undefined};

test.each([
  ['the own zone', {...anyone, zone: 'east'}, 'e1,e2'],
  [
    'the own region, where the zone has one entry',
    {...anyone, zone: 'north', region: 'coast'},
    'n1,e1,e2',
  ],
  [
    'an allowed region, where the own one has none',
    {...anyone, zone: 'west', allowedRegions: new Set(['inland'])},
    's1,s2',
  ],
  [
    'the own zone before an allowed region',
    {...anyone, zone: 'east', allowedRegions: new Set(['inland'])},
    'e1,e2',
  ],
  ['all entries otherwise', anyone, 'n1,e1,e2,s1,s2,u1'],
  [
    'all entries where no region is allowed by all routes',
    {...anyone, allowedRegions: new Set<string>()},
    'n1,e1,e2,s1,s2,u1',
  ],
])('the directory returns %s', (_, query, expected) => {
  expect(chooseEntries(ENTRIES, query).join()).toBe(expected);
});
