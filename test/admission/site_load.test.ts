import {afterAll, expect, test} from 'vitest';
import type {CallerResults, ModelResult} from './model_results';
import {runModel} from './site_model';

const SITES = [
  {entries: 1, engines: 12, seeds: [7, 8, 9], length: 6_000},
  {entries: 8, engines: 12, seeds: [7, 8, 9], length: 6_000},
  {entries: 43, engines: 36, seeds: [7, 8, 9], length: 6_000},
  {entries: 390, engines: 600, seeds: [7], length: 3_000},
];
const LOADS = [0.7, 0.95, 1.2, 2, 3];
const CASES = SITES.flatMap(site => LOADS.map(load => ({...site, load})));

/** `TABLE=1` prints the results as a table. */
const isTablePrinted = process.env.TABLE !== undefined;
const rows: string[] = [];

afterAll(() => {
  if (isTablePrinted) console.log(rows.join('\n'));
});

type Case = (typeof CASES)[number];

function run(
  {seeds, ...site}: Case,
  policy: Parameters<typeof runModel>[0]['policy'],
  floorBase: 'demand' | 'served' = 'demand',
): readonly ModelResult[] {
  return seeds.map(seed => runModel({...site, policy, seed, floorBase}));
}

function mean(
  results: readonly ModelResult[],
  of: (result: ModelResult) => number,
): number {
  return results.map(of).reduce((sum, one) => sum + one, 0) / results.length;
}

const servedShare = ({served, requests}: CallerResults): number =>
  served / requests;

function servedOf(results: readonly ModelResult[], priority: number): number {
  return mean(results, ({byPriority}) =>
    servedShare(byPriority.get(priority)!),
  );
}

function addRow(
  {load, entries}: Case,
  name: string,
  results: readonly ModelResult[],
): void {
  const value = mean(results, result => result.value);
  const served = [0, 1, 2].map(priority => servedOf(results, priority));
  const cells = [value, ...served].map(cell => cell.toFixed(3));
  rows.push(`| ${load} | ${entries} | ${name} | ${cells.join(' | ')} |`);
}

test.each(CASES)(
  'at $load times the capacity, $entries entries with lists 1 s old earn as much as a single queue',
  site => {
    const byLevel = run(site, 'level');
    const bySingleQueue = run(site, 'singleQueue');
    const value = mean(byLevel, result => result.value);
    const best = mean(bySingleQueue, result => result.value);
    addRow(site, 'level', byLevel);
    addRow(site, 'single queue', bySingleQueue);
    if (isTablePrinted) {
      addRow(site, 'no admission', run(site, 'none'));
      addRow(site, 'delay thresholds', run(site, 'delayThreshold'));
      addRow(site, 'level, floor of served', run(site, 'level', 'served'));
    }
    expect(value).toBeGreaterThan(best * 0.95);
    // The sum would not show a priority that pays for all others.
    for (const priority of [0, 1, 2]) {
      const least = servedOf(bySingleQueue, priority) * 0.9;
      expect(servedOf(byLevel, priority)).toBeGreaterThan(least);
    }
  },
);

test('the least urgent priority is not starved at three times the capacity', () => {
  const site = {...SITES[2]!, load: 3};
  expect(servedOf(run(site, 'level'), 2)).toBeGreaterThan(0.23);
  expect(servedOf(run(site, 'none'), 2)).toBeLessThan(0.15);
});

test('a workspace with a fifth of the demand is refused before others are', () => {
  const site = {...SITES[2]!, load: 2};
  const [result] = run(site, 'level');
  const others = [...result!.byWorkspace].filter(([name]) => name !== 'hot');
  const least = Math.min(...others.map(([, earned]) => servedShare(earned)));
  expect(servedShare(result!.byWorkspace.get('hot')!)).toBeLessThan(least);
});

test('long responses are refused at most one and a half times as often', () => {
  const [result] = run({...SITES[2]!, load: 2}, 'level');
  const all = [...result!.byPriority.values()];
  const refused = all.reduce((sum, earned) => sum + earned.refused, 0);
  const requests = all.reduce((sum, earned) => sum + earned.requests, 0);
  const ofLargest = result!.largest.refused / result!.largest.requests;
  expect(ofLargest).toBeLessThan((1.5 * refused) / requests);
});
