import {createQuarantine, type Quarantine} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';

const MAX_ROWS = 1_000;

function endAll(
  quarantine: Quarantine,
  fingerprint: string,
  incarnations: readonly string[],
): void {
  for (const life of incarnations) {
    quarantine.recordEnding([fingerprint], {life, sentAt: 1, endedAt: 1});
  }
}

test('a request is quarantined after three targets have ended while running it', () => {
  const quarantine = createQuarantine();
  endAll(quarantine, 'request', ['one', 'two']);
  expect(quarantine.isQuarantined('request')).toBe(false);
  endAll(quarantine, 'request', ['three']);
  expect(quarantine.isQuarantined('request')).toBe(true);
});

test('an ended target counts once, however often it is recorded', () => {
  const quarantine = createQuarantine();
  endAll(quarantine, 'request', ['one', 'one', 'two', 'one']);
  expect(quarantine.isQuarantined('request')).toBe(false);
});

test('a complete response resets earlier endings', () => {
  const quarantine = createQuarantine();
  endAll(quarantine, 'request', ['one', 'two', 'three']);
  expect(quarantine.recordAnswer('request', 2)).toBe(true);
  expect(quarantine.isQuarantined('request')).toBe(false);
  endAll(quarantine, 'request', ['late word of four']);
  quarantine.recordEnding(['request'], {life: 'five', sentAt: 3, endedAt: 3});
  quarantine.recordEnding(['request'], {life: 'six', sentAt: 3, endedAt: 3});
  expect(quarantine.isQuarantined('request')).toBe(false);
});

test('a request that only shared its targets with a worse one is not quarantined', () => {
  const quarantine = createQuarantine();
  endAll(quarantine, 'crashing', ['one', 'two', 'three', 'four']);
  endAll(quarantine, 'beside it', ['one', 'three', 'four']);
  expect(quarantine.isQuarantined('crashing')).toBe(true);
  expect(quarantine.isQuarantined('beside it')).toBe(false);
});

test('a worse request does not excuse endings of other targets', () => {
  const quarantine = createQuarantine();
  endAll(quarantine, 'one', ['one', 'two', 'three', 'four']);
  endAll(quarantine, 'other', ['one', 'two', 'five']);
  expect(quarantine.isQuarantined('other')).toBe(true);
});

test('many requests with one ending do not evict a quarantined one', () => {
  const quarantine = createQuarantine({maxRecords: 10});
  endAll(quarantine, 'crashing', ['one', 'two', 'three']);
  for (let index = 0; index < 100; index += 1) {
    endAll(quarantine, `request-${index}`, ['four']);
  }
  expect(quarantine.isQuarantined('crashing')).toBe(true);
  expect(quarantine.changedSince(0, MAX_ROWS).rows).toHaveLength(10);
});

test('a stored quarantine counts without local endings', () => {
  const quarantine = createQuarantine();
  quarantine.recordStored('request', true);
  expect(quarantine.isQuarantined('request')).toBe(true);
  quarantine.recordStored('request', false);
  expect(quarantine.isQuarantined('request')).toBe(false);
});

test('records of any entries converge in any order and when repeated', () => {
  const ending = fc.record({
    entry: fc.nat({max: 3}),
    fingerprint: fc.constantFrom('a', 'b'),
    life: fc.constantFrom('one', 'two', 'three', 'four'),
  });
  fc.assert(
    fc.property(fc.array(ending), fc.nat({max: 23}), (endings, seed) => {
      const entries = Array.from({length: 4}, () => createQuarantine());
      for (const {entry, fingerprint, life} of endings) {
        endAll(entries[entry]!, fingerprint, [life]);
      }
      const order = [0, 1, 2, 3, 2, 1].map(index => (index + seed) % 4);
      const all = order.map(index => entries[index]!);
      const merged = [createQuarantine(), createQuarantine()];
      for (const record of recordsOf(all)) merged[0]!.merge([record]);
      for (const record of recordsOf(all).reverse()) merged[1]!.merge([record]);
      for (const fingerprint of ['a', 'b']) {
        expect(merged[0]!.isQuarantined(fingerprint)).toBe(
          merged[1]!.isQuarantined(fingerprint),
        );
      }
    }),
    {seed: 41, numRuns: 200},
  );
});

function recordsOf(entries: readonly Quarantine[]) {
  return entries.flatMap(entry => entry.changedSince(0, MAX_ROWS).rows);
}

test('changes are returned in parts, each of them once', () => {
  const quarantine = createQuarantine();
  for (let index = 0; index < 7; index += 1) {
    endAll(quarantine, `request-${index}`, ['one']);
  }
  const passed: string[] = [];
  let revision = 0;
  for (let messages = 0; messages < 4; messages += 1) {
    const changes = quarantine.changedSince(revision, 3);
    revision = changes.revision;
    passed.push(...changes.rows.map(({suspect}) => suspect));
  }
  expect(passed).toHaveLength(7);
  expect(new Set(passed).size).toBe(7);
});
