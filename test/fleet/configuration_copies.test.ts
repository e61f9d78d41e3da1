import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createConfigurationCopies} from '../../packages/fleet/src/link/configuration_copies';
import {propertySettings} from '../fixtures/property_settings';

function textOf(version: number, timeouts: readonly number[]): Buffer {
  const routes = timeouts.map((timeout, index) => ({
    Name: `route-${index}-${(index * 7_919) % 1_000}`,
    Host: `voka${index % 97}.example`,
    Prefix: `/filo${(index * 31) % 999}/de${index}/`,
    Kind: 'stream',
    TimeoutMs: timeout,
    Service: `daka${index % 3}`,
    MaxAttempts: 2,
  }));
  return Buffer.from(JSON.stringify({Version: version, Routes: routes}));
}

const largeText = (version: number, changed = -1): Buffer =>
  textOf(
    version,
    Array.from({length: 1_650}, (_, index) => (index === changed ? 1 : 6_000)),
  );

test('a change of one route of 1,650 is sent in under a kilobyte', () => {
  const sender = createConfigurationCopies();
  const receiver = createConfigurationCopies();
  sender.add({revision: 5, text: largeText(10)});
  const whole = sender.write(0)!;
  expect(whole.content.length).toBeLessThan(40_000);
  receiver.add(receiver.read(whole).unwrap());
  sender.add({revision: 9, text: largeText(13, 800)});
  const change = sender.write(receiver.newestRevision())!;
  expect(change.content.length).toBeLessThan(1_000);
  const {revision, text} = receiver.read(change).unwrap();
  expect(revision).toBe(9);
  expect(text.equals(largeText(13, 800))).toBe(true);
});

test('a change of all 1,650 routes is sent whole, in about as many bytes', () => {
  const sender = createConfigurationCopies();
  sender.add({revision: 5, text: largeText(10)});
  const before = sender.write(0)!;
  const timeouts = Array.from({length: 1_650}, () => 7_000);
  sender.add({revision: 9, text: textOf(13, timeouts)});
  const change = sender.write(5)!;
  expect(change.baseRevision).toBe(0);
  expect(change.content.length).toBeLessThan(before.content.length * 1.1);
});

test.each(['before', 'behind'])(
  'routes that are added %s 1,650 are sent as a delta',
  place => {
    const sender = createConfigurationCopies();
    sender.add({revision: 5, text: largeText(10)});
    const {Routes} = JSON.parse(largeText(10).toString()) as {Routes: object[]};
    const added = Routes.slice(0, 350).map((route, index) => ({
      ...route,
      Name: `added-${index}`,
      Prefix: `/added/${index}/`,
    }));
    const all =
      place === 'before' ? [...added, ...Routes] : [...Routes, ...added];
    const text = Buffer.from(JSON.stringify({Version: 13, Routes: all}));
    sender.add({revision: 9, text});
    expect(sender.write(5)?.baseRevision).toBe(5);
  },
);

test('a receiver that holds an old configuration is sent the whole one', () => {
  const sender = createConfigurationCopies();
  for (let revision = 1; revision <= 12; revision += 1) {
    sender.add({revision, text: textOf(revision, [revision])});
  }
  expect(sender.write(2)?.baseRevision).toBe(0);
  expect(sender.write(11)?.baseRevision).toBe(11);
});

test('a copy that can be read equals the text, whatever changed or was missed', () => {
  const step = fc.record({
    timeouts: fc.array(fc.integer({min: 1, max: 4}), {maxLength: 12}),
    isMissed: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 20}), steps => {
      const sender = createConfigurationCopies();
      const receiver = createConfigurationCopies();
      steps.forEach(({timeouts, isMissed}, index) => {
        const text = textOf(index, timeouts);
        sender.add({revision: index + 1, text});
        if (isMissed) return;
        const copy = sender.write(receiver.newestRevision())!;
        const read = receiver.read(copy).unwrap();
        expect(read.text.equals(text)).toBe(true);
        receiver.add(read);
      });
    }),
    propertySettings(100),
  );
});

test('bytes that are not a copy are refused', () => {
  const sender = createConfigurationCopies();
  const receiver = createConfigurationCopies();
  sender.add({revision: 1, text: textOf(1, [5, 6, 7])});
  const whole = sender.write(0)!;
  receiver.add(receiver.read(whole).unwrap());
  sender.add({revision: 2, text: textOf(2, [5, 8, 7])});
  const change = sender.write(1)!;
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 60}), content => {
      for (const copy of [whole, change]) {
        const corrupted = {...copy, content: Buffer.from(content)};
        expect(receiver.read(corrupted).err).toBe(true);
      }
    }),
    propertySettings(100),
  );
  expect(receiver.read({...change, baseRevision: 77}).err).toBe(true);
});
