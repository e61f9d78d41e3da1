import {createNamedVersions, createStoreClock} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
import type {RelayNews} from '@hibiscusbeam/wire';
import {afterEach, expect, test} from 'vitest';
import {createEntryChannels} from '../../packages/fleet/src/link/channels';
import {createNamingExchange} from '../../packages/fleet/src/link/naming_exchange';
import {startHostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

/** How much later the second entry starts than the first. */
const LATER = 1_500;

const VERSION_BOUND = 8_000;

let site: HostSite;
const channels = createEntryChannels();

afterEach(async () => {
  channels.retain(new Set());
  await site.close();
});

/** Age of the name of version 2, as sent by an entry to others. */
async function ageAt(peerAddress: string): Promise<number | undefined> {
  const call = channels.at(peerAddress).follow();
  call.on('error', () => undefined);
  call.write({
    self: {instance: 'stranger', ready: false, ageMilliseconds: 0},
    wantsReports: false,
    wantsTables: false,
    wantsSiteReading: false,
    heldConfiguration: 0,
    namings: [],
    crashRecords: [],
    rateLimits: [],
    demands: [],
  });
  const news = await new Promise<RelayNews | undefined>(resolve => {
    call.once('data', resolve);
    call.once('close', () => resolve(undefined));
  });
  call.end();
  return news?.namings[0]?.ageMilliseconds;
}

// A version is named, and an entry restarts before its bound. If it counted the
// bound from its own first read, it would send requests to engines with the
// older version for seconds after the bound.
test('an entry learns from the others since when a version is named', async () => {
  site = await startHostSite();
  site.configure();
  site.store.write('op', 'version/model', {Model: 'model', Version: 2});
  const first = await site.startEntry();
  await eventually(
    async () => (await ageAt(first.settings.peerAddress)) !== undefined,
  );
  await new Promise(resolve => setTimeout(resolve, LATER));
  const second = await site.startEntry();
  await eventually(async () => {
    const ageAtFirst = await ageAt(first.settings.peerAddress);
    const ageAtSecond = await ageAt(second.settings.peerAddress);
    return (ageAtSecond ?? 0) >= (ageAtFirst ?? Infinity);
  });
  expect(await ageAt(second.settings.peerAddress)).toBeGreaterThan(LATER);
});

// All entries restart at the same time, two seconds after a version was named.
// None of them can inform another since when it is named; the agents can.
test('agents inform entries that all restart since when a version is named', async () => {
  site = await startHostSite();
  site.configure();
  site.store.write('op', 'version/model', {Model: 'model', Version: 2});
  const engine = await startHostEngine({instance: 'one', version: 1});
  await site.startAgent(engine);
  await eventually(() =>
    site.lines.some(({message}) => message === 'version named'),
  );
  const knownAt = performance.now();
  await new Promise(resolve => setTimeout(resolve, LATER));
  const {settings} = await site.startEntry();
  // The agent knew the name before `knownAt`; the entry started long after.
  await eventually(async () => {
    const minAge = performance.now() - knownAt;
    return ((await ageAt(settings.peerAddress)) ?? 0) >= minAge;
  });
  await engine.close();
});

// Agents do not query the store while entries send messages. A version must
// reach them at once all the same: each second is an eighth of its bound.
test('entries inform agents of a new version at once', async () => {
  site = await startHostSite();
  site.configure();
  await site.startEntry();
  const engine = await startHostEngine({instance: 'one', version: 1});
  await site.startAgent(engine);
  const namedCount = () =>
    site.lines.filter(({message}) => message === 'version named').length;
  await eventually(() => site.lines.some(({message}) => message === 'members'));
  await new Promise(resolve => setTimeout(resolve, LATER));
  const callsBefore = site.store.calls.get('/rows-feed');
  site.store.write('op', 'version/model', {Model: 'model', Version: 2});
  await eventually(() => namedCount() === 2);
  // The entry's request was answered and sent again; the agent sent none.
  expect(
    site.store.calls.get('/rows-feed')! - callsBefore!,
  ).toBeLessThanOrEqual(1);
  await engine.close();
});

test('the bound of a name delayed by a saturated link counts from its naming', () => {
  const versions = createNamedVersions(VERSION_BOUND);
  const log = {info: () => undefined} as unknown as Log;
  const storeClock = createStoreClock();
  storeClock.record({askedAt: 0, answeredAt: 4, storeTime: 700_000});
  const exchange = createNamingExchange(versions, () => 6_000, log, storeClock);
  const naming = {model: 'model', version: 2, ageMilliseconds: 100};
  exchange.merge([{...naming, storeTime: 701_000}]);
  expect(
    versions.oldestAllowed('model', 999 + VERSION_BOUND, 0),
  ).toBeUndefined();
  expect(versions.oldestAllowed('model', 1_000 + VERSION_BOUND, 0)).toBe(2);
  expect(exchange.list()).toEqual([
    {...naming, ageMilliseconds: 5_000, storeTime: 701_000},
  ]);
});
