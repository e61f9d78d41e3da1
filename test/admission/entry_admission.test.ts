import {ANYWHERE, createTargetBook, type Route} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {createEntryAdmission} from '../../packages/fleet/src/entry/entry_admission';
import type {AcceptedRequest} from '../../packages/fleet/src/entry/request_acceptance';
import {
  placesAskedFor,
  readDemands,
  readZoneDemands,
} from '../../packages/fleet/src/link/demand_messages';
import {engineLoad, engineTarget} from '../fixtures/placement';

const ROUTE = {name: 'route', priority: 1, objective: 400} as Route;

function accepted(changes: Partial<AcceptedRequest> = {}): AcceptedRequest {
  return {
    header: {patience: 6_000} as AcceptedRequest['header'],
    route: ROUTE,
    service: 'engines',
    access: {kind: 'anonymous'},
    destinations: ANYWHERE,
    run: {
      promptTime: 50,
      writingTime: 950,
      tokens: 100,
      profile: undefined,
    },
    fingerprint: 'content',
    body: Buffer.alloc(0),
    arrivedAt: 0,
    deadline: 6_000,
    ...changes,
  };
}

/** An entry with one engine of 16 places, on a clock that only `at` moves. */
function createSite(options: {readonly isReported?: boolean} = {}) {
  let now = 0;
  const book = createTargetBook({instance: 'entry', zone: 'north'});
  book.list([engineTarget('engine')], 0);
  const report = (running: number): void => {
    if (options.isReported === false) return;
    book.report(engineLoad('engine', {running}), now);
  };
  const admission = createEntryAdmission({
    instance: 'entry',
    zone: 'north',
    book,
    clock: () => now,
    entries: () => 1,
    followsRelay: () => false,
    waitingFor: () => 0,
  });
  /** Requests a second for `length` milliseconds; counts those refused. */
  const load = (
    rate: number,
    length: number,
    request: AcceptedRequest = accepted(),
  ): number => {
    let refused = 0;
    const end = now + length;
    for (; now < end; now += 1_000 / rate) {
      report(16);
      if (admission.arrive(request).kind === 'belowLevel') refused += 1;
    }
    return refused / ((rate * length) / 1_000);
  };
  return {admission, load};
}

test('what the engines cannot take is refused on arrival', () => {
  const {load} = createSite();
  load(32, 2_000);
  expect(load(32, 4_000)).toBeGreaterThan(0.42);
  expect(load(32, 4_000)).toBeLessThan(0.55);
  load(12, 2_000);
  expect(load(12, 4_000)).toBe(0);
});

test('a stream that a caller resumes is never refused by the level', () => {
  const {load} = createSite();
  const header = {patience: 6_000, resumeAfter: 'event-7'};
  const resumed = accepted({header: header as AcceptedRequest['header']});
  load(64, 2_000);
  expect(load(64, 2_000, resumed)).toBe(0);
});

test('without reports of engines nothing is refused by a level', () => {
  const {load} = createSite({isReported: false});
  expect(load(64, 4_000)).toBe(0);
});

test('requests that hold their places longer than hinted are refused more', () => {
  const {admission, load} = createSite();
  load(14, 2_000);
  expect(load(14, 2_000)).toBe(0);
  for (let ended = 0; ended < 60; ended += 1) {
    admission.noteHeld(accepted(), 2_000);
  }
  load(14, 2_000);
  expect(load(14, 2_000)).toBeGreaterThan(0.2);
});

test('demands that no entry can have measured are left out', () => {
  const row = {service: 'engines', priority: 1, waiting: 0};
  const rows = [NaN, -1, Infinity, 3].map(places => ({...row, places}));
  expect(readDemands(rows)).toEqual([{...row, places: 3}]);
  const zone = {zone: 'north', demands: rows, ageMilliseconds: 4_000};
  const read = readZoneDemands([zone], 5_000);
  expect(placesAskedFor(read)).toBe(3);
  expect(read).toMatchObject([{heardAt: 1_000}]);
});
