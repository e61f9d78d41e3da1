import {expect, test} from 'vitest';
import {simulateSite, type SiteOptions} from './uneven_site';

const OPTIONS: Omit<SiteOptions, 'engines' | 'chooser' | 'seed'> = {
  load: 0.85,
  entries: 17,
  reportAge: 100,
};
const SEEDS = [1, 2, 3];

/** Mean share of late first events, in percent. */
function lateShare(options: Omit<SiteOptions, 'seed'>): number {
  const shares = SEEDS.map(seed => simulateSite({...options, seed}));
  return (100 * shares.reduce((sum, share) => sum + share)) / SEEDS.length;
}

// A sixth of the engines is 1.5 to 5 times slower. Chosen by load alone, each
// request there is late: 10.4% of all instead of 7.6%.
test('fewer first events are late where some engines are slower', () => {
  const options = {...OPTIONS, engines: 'sixthSlower'} as const;
  const byLoad = lateShare({...options, chooser: 'byLoad'});
  const forecast = lateShare({...options, chooser: 'forecast'});
  expect(forecast).toBeLessThan(0.85 * byLoad);
});

// The slow engines' agents report the usual pace. The pace observed from first
// events replaces it: 1.4% are late instead of 3.6%.
test('engines that misreport their pace are avoided', () => {
  const options = {...OPTIONS, engines: 'sixthSlower', entries: 1} as const;
  const misreported = {...options, reportsPace: false};
  const byLoad = lateShare({...misreported, chooser: 'byLoad'});
  const forecast = lateShare({...misreported, chooser: 'forecast'});
  expect(forecast).toBeLessThan(0.7 * byLoad);
});

// With more entries than engines, each entry's turns are too rare: 59% are late
// for lack of a turn while engines have free slots, and 5 to 12% with open
// slots.
test('requests take open slots where turns are too rare', () => {
  const options = {...OPTIONS, engines: 'even', entries: 390} as const;
  const shares = simulateSite({...options, chooser: 'forecast', seed: 1});
  expect(100 * shares).toBeLessThan(12);
});

// With 17 entries and reports 100 ms old 6.5% are late, and 0.3% with complete
// knowledge.
test('few more first events are late than with complete knowledge', () => {
  const options = {...OPTIONS, engines: 'slowPeriods'} as const;
  const complete = lateShare({...options, chooser: 'complete'});
  const forecast = lateShare({...options, chooser: 'forecast'});
  expect(forecast).toBeLessThanOrEqual(1.3 * complete);
});
