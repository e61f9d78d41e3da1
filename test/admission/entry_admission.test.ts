import {ANYWHERE, createTargetRegistry, type Route} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import type {Log} from '@hibiscusbeam/daemon';
import {describeRefusal} from '../../packages/fleet/src/entry/admission_monitor';
import {createFleetMetrics} from '../../packages/fleet/src/entry/fleet_metrics';
import {createEntryAdmission} from '../../packages/fleet/src/entry/entry_admission';
import type {AcceptedRequest} from '../../packages/fleet/src/entry/request_acceptance';
import {
  countRequestedSlots,
  readDemands,
  readZoneDemands,
} from '../../packages/fleet/src/link/demand_messages';
import {engineLoad, engineTarget} from '../fixtures/placement';
import {arrivedBody} from '../fleet/fixtures/request_body';

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
      answerTokens: 0,
      profile: undefined,
    },
    fingerprint: 'content',
    promptParts: [],
    body: arrivedBody(),
    arrivedAt: 0,
    deadline: 6_000,
    ...changes,
  };
}

/**
 * An entry with one engine of 16 slots, with a clock that only `load` advances.
 */
function createSite(options: {readonly isReported?: boolean} = {}) {
  let now = 0;
  const registry = createTargetRegistry({instance: 'entry', zone: 'north'});
  registry.list([engineTarget('engine')], 0);
  const report = (running: number): void => {
    if (options.isReported === false) return;
    registry.report(engineLoad('engine', {running}), now);
  };
  const metrics = createFleetMetrics();
  const lines: unknown[] = [];
  const log = {info: (...line: unknown[]) => lines.push(line)};
  const admission = createEntryAdmission({
    metrics,
    log: log as unknown as Log,
    instance: 'entry',
    zone: 'north',
    registry,
    clock: () => now,
    entries: () => 1,
    followsRelay: () => false,
    waitingFor: () => 0,
  });
  /**
   * Sends `rate` requests per second for `length` ms; returns the refused
   * share.
   */
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
  return {admission, load, metrics, lines};
}

test('requests beyond the capacity of the engines are refused on arrival', () => {
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

test('requests that hold their slots longer than hinted are refused more often', () => {
  const {admission, load} = createSite();
  load(14, 2_000);
  expect(load(14, 2_000)).toBe(0);
  for (let ended = 0; ended < 60; ended += 1) {
    admission.recordHeld(accepted(), 2_000);
  }
  load(14, 2_000);
  expect(load(14, 2_000)).toBeGreaterThan(0.2);
});

test('demands that no entry can have measured are ignored', () => {
  const row = {service: 'engines', priority: 1, waiting: 0};
  const rows = [NaN, -1, Infinity, 3].map(places => ({...row, places}));
  expect(readDemands(rows)).toEqual([{...row, places: 3}]);
  const zone = {zone: 'north', demands: rows, ageMilliseconds: 4_000};
  const read = readZoneDemands([zone], 5_000);
  expect(countRequestedSlots(read)).toBe(3);
  expect(read).toMatchObject([{receivedAt: 1_000}]);
});

test('an overload shows in metrics, and in one log line when it begins and ends', async () => {
  const {admission, load, metrics, lines} = createSite();
  load(12, 3_000);
  expect(lines).toEqual([]);
  load(64, 4_000);
  const atFull = lines.length;
  expect(atFull).toBeGreaterThanOrEqual(1);
  expect(atFull).toBeLessThanOrEqual(4);
  admission.recordWait(accepted(), 30, 'allFull');
  const text = await metrics.text();
  const counted =
    'hibiscusbeam_admissions_total{service="engines",priority="1"';
  expect(text).toContain(`${counted},outcome="refused",reason="belowLevel"}`);
  expect(text).toContain(`${counted},outcome="held",reason="allFull"} 1`);
  expect(text).toContain('hibiscusbeam_admission_share{service="engines"');
  expect(text).toContain('hibiscusbeam_place_wait_milliseconds_bucket{le="50"');
  load(6, 4_000);
  expect(lines.at(-1)).toMatchObject([
    'admission level changed',
    {shares: ['1: 1.00']},
  ]);
});

test('the trace of a refused request shows the level', () => {
  const shares = [{priority: 1, share: 0.5}];
  const trace = describeRefusal({shares, demand: 32, capacity: 16}, 1);
  expect(trace).toBe(
    'belowLevel, priority 1, shares 1: 0.50, demand 32 of 16 places',
  );
});
