import type {HostError} from '@hibiscusbeam/fleet';
import fc from 'fast-check';
import {Ok, type Result} from 'ts-results';
import {describe, expect, test} from 'vitest';
import {createMemberTable} from '../../platform/member_table';
import {createOperatorFeed} from '../../platform/operator_feed';
import type {
  RowsReading,
  StoreClient,
  StoreRow,
} from '../../platform/store_client';
import {createTargetList} from '../../platform/target_list';
import {propertySettings} from '../fixtures/property_settings';

const REGISTRATION = {
  Service: 'engines',
  Address: '10.1.0.20:8406',
  Zone: 'north',
  Version: 'v1',
  Slots: 16,
  State: 'ready',
  ColdRemainingMs: 0,
  Sequence: 4,
  Models: [{Name: 'model', Version: 2}],
  born: 1_790_000_000_000,
};

const MEMBER = {
  instance: 'front-1',
  role: 'entry',
  zone: 'north',
  address: '10.1.0.40:7700',
  callerAddress: '10.1.0.40:8005',
  life: 'front-1-life',
};

const CONFIGURATION = {
  Version: 3,
  Routes: [
    {
      Name: 'route',
      Host: 'site.example',
      Prefix: '/',
      Kind: 'safe',
      Service: 'engines',
      TimeoutMs: 1_000,
    },
  ],
  Services: [{Name: 'engines'}],
};

const NAMED = {Model: 'model', Version: 2};

function row(key: string, value: unknown, revision = 1): StoreRow {
  const bytes = Buffer.from(JSON.stringify(value) ?? '');
  return {key, revision, isRemoved: false, value, bytes};
}

function createStubStore(rows: readonly StoreRow[]): StoreClient {
  const reading: Result<RowsReading, HostError> = Ok({
    revision: 9,
    era: 0,
    storeTime: 0,
    rows,
  });
  return {
    rows: () => Promise.resolve(reading),
    feed: () => Promise.resolve(reading),
    create: () => Promise.resolve(new Ok(true)),
    put: () => Promise.resolve(Ok.EMPTY),
    remove: () => Promise.resolve(Ok.EMPTY),
  };
}

async function readTargets(...rows: readonly StoreRow[]) {
  return (await createTargetList(createStubStore(rows)).read(1)).unwrap();
}

async function readMembers(...rows: readonly StoreRow[]) {
  return (await createMemberTable(createStubStore(rows)).readAll(1)).unwrap();
}

async function readOperator(...rows: readonly StoreRow[]) {
  return (await createOperatorFeed(createStubStore(rows)).readAll(1)).unwrap();
}

/**
 * Values that another writer may store in place of `valid`, never valid
 * themselves.
 */
function corrupted(valid: object, required: readonly string[]) {
  const field = fc.constantFrom(...required);
  const otherType = fc.constantFrom(null, true, {}, [], -1.5, '');
  return fc.oneof(
    // Bytes that are not JSON.
    fc.constant(undefined),
    fc.constantFrom(null, 7, 'text', [], true),
    field.map(name =>
      Object.fromEntries(
        Object.entries(valid).filter(([known]) => known !== name),
      ),
    ),
    fc
      .tuple(field, otherType)
      .map(([name, value]) => ({...valid, [name]: value})),
  );
}

describe('registrations', () => {
  const fields = Object.keys(REGISTRATION).filter(
    name => name !== 'Models' && name !== 'born',
  );

  test('a complete row lists its engine', async () => {
    const {targets, unusable} = await readTargets(row('i-1', REGISTRATION));
    expect(targets).toEqual([
      {
        instance: 'i-1',
        born: 1_790_000_000_000,
        service: 'engines',
        address: '10.1.0.20:8406',
        zone: 'north',
        slots: 16,
        coldFor: 0,
        leaving: false,
        held: [{model: 'model', version: 2}],
      },
    ]);
    expect(unusable).toEqual([]);
  });

  test('malformed rows of other writers are listed as unusable, and the others are used', async () => {
    const foreign = corrupted(REGISTRATION, fields);
    await fc.assert(
      fc.asyncProperty(fc.array(foreign, {maxLength: 8}), async values => {
        const rows = values.map((value, at) => row(`x-${at}`, value, at));
        const read = await readTargets(...rows, row('i-1', REGISTRATION));
        expect(read.targets.map(target => target.instance)).toEqual(['i-1']);
        expect(read.unusable.map(({key}) => key)).toEqual(
          rows.map(({key}) => key),
        );
      }),
      propertySettings(200),
    );
  });

  test.each([
    ['an unknown state', {State: 'warming'}],
    ['a start time that is not an integer', {born: 1.5}],
    ['a start time that is a string', {born: '2026-01-01'}],
    ['models of the wrong type', {Models: 'model'}],
    ['an invalid address', {Address: 'engine.example'}],
    ['a port out of range', {Address: '10.1.0.20:65536'}],
    ['the port 0', {Address: '10.1.0.20:0'}],
    ['an octet out of range', {Address: '10.1.0.256:8406'}],
    ['no slots', {Slots: 0}],
  ])('a row with %s lists no engine', async (_, changes) => {
    const value = {...REGISTRATION, ...changes};
    const {targets, unusable} = await readTargets(row('i-1', value));
    expect(targets).toEqual([]);
    const [field] = Object.keys(changes);
    expect(unusable[0]?.reason).toContain(field);
  });
});

describe('members', () => {
  const fields = Object.keys(MEMBER).filter(name => name !== 'callerAddress');

  test('malformed rows of other writers are listed as unusable, and the others are used', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(corrupted(MEMBER, fields), {maxLength: 8}),
        async values => {
          const rows = values.map((value, at) => row(`x-${at}`, value, at));
          const read = await readMembers(...rows, row('front-1', MEMBER));
          expect(read.changes).toEqual([
            {instance: 'front-1', member: {...MEMBER}},
          ]);
          expect(read.unusable).toHaveLength(rows.length);
        },
      ),
      propertySettings(200),
    );
  });

  test("a row under another member's key lists no member", async () => {
    const {changes, unusable} = await readMembers(row('front-2', MEMBER));
    expect(changes).toEqual([]);
    expect(unusable[0]?.reason).toContain('instance');
  });
});

describe("the operator's rows", () => {
  test('malformed rows of other writers name no version, and the others are used', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(corrupted(NAMED, ['Model', 'Version']), {maxLength: 8}),
        async values => {
          const rows = values.map((value, at) =>
            row(`version/x-${at}`, value, at),
          );
          const good = row('version/model', NAMED);
          const read = await readOperator(
            ...rows,
            good,
            row('config', CONFIGURATION),
          );
          expect(read.namedVersions).toEqual([{model: 'model', version: 2}]);
          expect(read.configuration?.version).toBe(3);
          expect(read.isConfigurationLost).toBe(false);
          expect(read.unusable).toHaveLength(rows.length);
        },
      ),
      propertySettings(200),
    );
  });

  test('a malformed configuration is not used, and versions still are', async () => {
    const foreign = corrupted(CONFIGURATION, ['Version', 'Routes']).filter(
      // A configuration without routes is valid.
      value => !isWithoutRoutes(value),
    );
    await fc.assert(
      fc.asyncProperty(foreign, async value => {
        const read = await readOperator(
          row('config', value),
          row('version/model', NAMED),
        );
        expect(read.configuration).toBeUndefined();
        expect(read.isConfigurationLost).toBe(true);
        expect(read.namedVersions).toHaveLength(1);
      }),
      propertySettings(200),
    );
  });

  test('the last configuration written is used', async () => {
    const read = await readOperator(
      row('config', 'torn', 1),
      row('config', CONFIGURATION, 2),
    );
    expect(read.isConfigurationLost).toBe(false);
    expect(read.configuration?.version).toBe(3);
  });

  test('a row with any value evacuates its zone', async () => {
    await fc.assert(
      fc.asyncProperty(fc.jsonValue(), async value => {
        const written = row('evacuate/south', value, 7);
        const {evacuations, unusable} = await readOperator(written);
        expect(evacuations).toEqual([
          {zone: 'south', revision: 7, isEvacuated: true},
        ]);
        expect(unusable).toEqual([]);
      }),
      propertySettings(100),
    );
  });

  test('rows for other purposes are ignored', async () => {
    const {unusable} = await readOperator(row('note', 'anything'));
    expect(unusable).toEqual([]);
  });
});

function isWithoutRoutes(value: unknown): boolean {
  const {Routes} = Object(value) as {Routes?: unknown};
  return Array.isArray(Routes) && Routes.length === 0;
}

test('the list takes the order of writes from the rows: of two targets with one address the last counts', async () => {
  const list = createTargetList(
    createStubStore([
      row('ended', REGISTRATION, 4),
      row('running', REGISTRATION, 7),
      row('older', REGISTRATION, 2),
      row('elsewhere', {...REGISTRATION, Address: '10.1.0.21:8406'}, 1),
      row('stray', {...REGISTRATION, Service: 'other'}, 9),
    ]),
  );
  const reading = await list.read(1_000);
  expect(reading.unwrap().targets.map(({instance}) => instance)).toEqual([
    'running',
    'elsewhere',
    'stray',
  ]);
});
