import {
  chooseRelay,
  createSilentPeers,
  relayOrder,
  reportReceivers,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';

interface Entry {
  readonly instance: string;
  readonly zone: string;
}

/** The given number of entries in each of five zones. */
function entriesOf(inZone: number): readonly Entry[] {
  return ['north', 'south', 'east', 'west', 'middle'].flatMap(zone =>
    Array.from({length: inZone}, (_, index) => ({
      instance: `${zone}-${index}`,
      zone,
    })),
  );
}

const none = () => false;

test('processes that know the same entries agree on the relay', () => {
  const shuffled = fc.shuffledSubarray([...entriesOf(8)], {minLength: 40});
  const expected = chooseRelay(entriesOf(8), 'north', none);
  fc.assert(
    fc.property(shuffled, entries => {
      expect(chooseRelay(entries, 'north', none)).toEqual(expected);
    }),
    {seed: 1},
  );
});

// The relay of a zone loses power. Its row stays in the members' table, so
// processes that get no answer from it must skip it.
test('the next entry in order replaces a silent relay', () => {
  const entries = entriesOf(8);
  const [first, second] = relayOrder(entries, 'north');
  const relay = chooseRelay(entries, 'north', entry => entry === first);
  expect(relay).toBe(second);
});

test('a zone whose entries are all silent has no relay', () => {
  expect(chooseRelay(entriesOf(8), 'north', () => true)).toBeUndefined();
});

test('agents report to two entries of a large zone, and each report to the first', () => {
  for (const inZone of [8, 78]) {
    const receivers = reportReceivers(entriesOf(inZone), 'east', none);
    expect(receivers.map(({getsAll}) => getsAll)).toEqual([true, false]);
    expect(receivers.every(({entry}) => entry.zone === 'east')).toBe(true);
  }
});

test('agents send each report to all entries of a small zone', () => {
  const receivers = reportReceivers(entriesOf(3), 'east', none);
  expect(receivers.map(({getsAll}) => getsAll)).toEqual([true, true, true]);
});

// All entries of a zone have stopped. Its engines still run, and entries of
// other zones place requests there by the agents' reports.
test.each([3, 8])(
  'agents of a zone without a responsive entry report to all zones (%i entries each)',
  inZone => {
    const isSilent = ({zone}: Entry) => zone === 'east';
    const receivers = reportReceivers(entriesOf(inZone), 'east', isSilent);
    const zones = new Set(receivers.map(({entry}) => entry.zone));
    expect(zones.size).toBe(5);
  },
);

test('the zone relay is among those that agents report to', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 30}),
      fc.array(fc.nat({max: 29}), {maxLength: 10}),
      (inZone, silentOnes) => {
        const entries = entriesOf(inZone);
        const isSilent = ({instance}: Entry) =>
          silentOnes.some(index => instance.endsWith(`-${index}`));
        const relay = chooseRelay(entries, 'east', isSilent);
        if (relay === undefined) return;
        const receivers = reportReceivers(entries, 'east', isSilent);
        expect(receivers).toContainEqual({entry: relay, getsAll: true});
      },
    ),
    {seed: 2},
  );
});

test('a process that fell silent is queried again after five seconds', () => {
  const silent = createSilentPeers();
  silent.record('life', 1_000);
  expect(silent.isSilent('life', 5_999)).toBe(true);
  expect(silent.isSilent('life', 6_000)).toBe(false);
  expect(silent.isSilent('other', 1_000)).toBe(false);
});
