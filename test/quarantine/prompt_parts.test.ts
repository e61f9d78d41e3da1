import {createQuarantine, type Verdict} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';

/** Time from a send until the target ends under it. */
const CRASH_DELAY = 100;

/** A quarantine with the evidence of attempts at targets. */
function startSite() {
  const verdicts: Verdict[] = [];
  const quarantine = createQuarantine({
    onVerdict: verdict => verdicts.push(verdict),
  });

  /** Ends a target under requests, each given by its suspects. */
  function crash(
    life: string,
    sentAt: number,
    ...requests: readonly (readonly string[])[]
  ): void {
    const ending = {life, sentAt, endedAt: sentAt + CRASH_DELAY};
    for (const suspects of requests) quarantine.recordEnding(suspects, ending);
  }

  function answer(begunAt: number, ...suspects: readonly string[]): void {
    for (const suspect of suspects) quarantine.recordAnswer(suspect, begunAt);
  }

  const quarantined = (): readonly string[] =>
    [...new Set(verdicts.map(({suspect}) => suspect))].filter(
      quarantine.isQuarantined,
    );
  return {quarantine, verdicts, crash, answer, quarantined};
}

test('a part in different requests is quarantined after three targets ended under it', () => {
  const {crash, quarantined} = startSite();
  crash('one', 0, ['request 1', 'bad']);
  crash('two', 10, ['request 2', 'bad']);
  expect(quarantined()).toEqual([]);
  crash('three', 20, ['request 3', 'bad']);
  expect(quarantined()).toEqual(['bad']);
});

test('of parts at the same targets the one that fewer prompts share is quarantined', () => {
  const {crash, quarantined} = startSite();
  for (const target of ['one', 'two', 'three']) {
    crash(target, 0, [`request at ${target}`, 'shared', 'bad', target]);
  }
  expect(quarantined()).toEqual(['bad']);
});

test('no suspect is quarantined on the way to the verdict', () => {
  const [one, other] = [startSite(), startSite()];
  for (const target of ['one', 'two', 'three']) {
    one.crash(target, 0, [`request at ${target}`, 'shared', 'bad']);
  }
  other.quarantine.merge(one.quarantine.changedSince(0, 100).rows);
  for (const {verdicts} of [one, other]) {
    expect(verdicts.map(({suspect}) => suspect)).toEqual(['bad']);
  }
});

test('another part at the same targets is quarantined once a target ends under it alone', () => {
  const {crash, quarantined} = startSite();
  for (const target of ['one', 'two', 'three']) {
    crash(target, 0, [`request at ${target}`, 'bad', 'beside it', target]);
  }
  crash('four', 0, ['request at four', 'bad']);
  expect(quarantined()).toEqual(['bad']);
});

test('a part that is answered between two ends is not quarantined with the crashing part', () => {
  const {crash, answer, quarantined} = startSite();
  for (let round = 0; round < 6; round += 1) {
    const at = round * 1_000;
    crash(`target ${round}`, at, [`request ${round}`, 'shared', 'bad']);
    answer(at + 500, 'shared');
  }
  expect(quarantined()).toEqual(['bad']);
});

test('a part in use everywhere is not quarantined when all targets end at once', () => {
  const {crash, answer, quarantined} = startSite();
  answer(0, 'shared');
  for (let target = 0; target < 10; target += 1) {
    crash(`target ${target}`, target, [`request ${target}`, 'shared']);
  }
  expect(quarantined()).toEqual([]);
});

test('the crashing part is found although the shared part was at more targets that ended', () => {
  const {crash, answer, quarantined} = startSite();
  answer(0, 'shared');
  for (let target = 1; target <= 2; target += 1) {
    crash(`lost ${target}`, target * 200, [`sound ${target}`, 'shared']);
  }
  for (let target = 3; target <= 5; target += 1) {
    const requests = [`request ${target}`, 'shared', 'bad'];
    crash(`crashed ${target}`, target * 200, requests);
  }
  expect(quarantined()).toEqual(['bad']);
});

test('a part that was answered before is quarantined once targets end under it in turn', () => {
  const {crash, answer, quarantined} = startSite();
  answer(0, 'shared', 'later bad');
  for (let round = 1; round <= 3; round += 1) {
    const at = round * 1_000;
    answer(at - 1, 'shared');
    crash(`target ${round}`, at, [`request ${round}`, 'shared', 'later bad']);
  }
  expect(quarantined()).toEqual(['later bad']);
});

test('a stream beside the crashing part that moved from target to target is not quarantined', () => {
  const {crash, quarantined} = startSite();
  for (let target = 0; target < 3; target += 1) {
    const at = target * 1_000;
    crash(`target ${target}`, at, ['stream', 'its part']);
    crash(`target ${target}`, at, [`request ${target}`, 'bad']);
  }
  crash('target 3', 3_000, ['request 3', 'bad']);
  expect(quarantined()).toEqual(['bad']);
});

test('an attempt sent before an answer began does not count against its parts', () => {
  const {crash, answer, quarantined} = startSite();
  answer(50, 'part');
  for (const target of ['one', 'two', 'three']) crash(target, 40, ['part']);
  expect(quarantined()).toEqual([]);
});

test('an entry that has seen a part answered clears it at the entry that reports the ends', () => {
  const [fresh, other] = [startSite(), startSite()];
  other.answer(100, 'shared');
  for (let target = 0; target < 3; target += 1) {
    fresh.crash(`target ${target}`, target, ['shared']);
  }
  expect(fresh.quarantined()).toEqual(['shared']);
  other.quarantine.merge(fresh.quarantine.changedSince(0, 100).rows);
  expect(other.quarantine.isQuarantined('shared')).toBe(false);
  fresh.quarantine.merge(other.quarantine.changedSince(0, 100).rows);
  expect(fresh.quarantined()).toEqual([]);
});

test('a stored quarantine of a part that a target has answered does not hold', () => {
  const {quarantine, answer, quarantined} = startSite();
  answer(0, 'shared');
  quarantine.recordStored('shared', true);
  quarantine.recordStored('bad', true);
  expect(quarantined()).toEqual(['bad']);
});

test('each change of a verdict is reported once, with its origin', () => {
  const {quarantine, verdicts, crash, answer} = startSite();
  for (const target of ['one', 'two', 'three', 'four']) {
    crash(target, 0, ['bad']);
  }
  answer(1, 'bad');
  quarantine.recordStored('other', true);
  quarantine.recordStored('other', true);
  quarantine.recordStored('other', false);
  expect(
    verdicts.map(({suspect, isQuarantined, origin}) => [
      suspect,
      isQuarantined,
      origin,
    ]),
  ).toEqual([
    ['bad', true, 'observed'],
    ['bad', false, 'observed'],
    ['other', true, 'stored'],
    ['other', false, 'stored'],
  ]);
});
