import {Err, Ok} from 'ts-results';
import {expect, test} from 'vitest';
import {createQuarantineTrials} from '../../packages/fleet/src/entry/quarantine_trials';
import type {HostError, QuarantineTable} from '../../packages/fleet/src/ports';
import {errorFreeLog} from '../fixtures/error_free_log';

const LONG = 60_000;

/** The trials of entries that share one store. */
function startEntries(count: number) {
  const rows = new Map<string, string>();
  let fault: HostError | undefined;
  let now = 0;
  const table = {
    claimTrial: (fingerprint: string, holder: string) => {
      if (fault?.kind === 'noAnswer') rows.set(fingerprint, holder);
      if (fault !== undefined) return Promise.resolve(Err(fault));
      if (rows.has(fingerprint)) return Promise.resolve(Ok(false));
      rows.set(fingerprint, holder);
      return Promise.resolve(Ok(true));
    },
    removeTrial: (fingerprint: string) => {
      rows.delete(fingerprint);
      return Promise.resolve(Ok.EMPTY);
    },
  } as unknown as QuarantineTable;
  const entries = Array.from({length: count}, (_, index) =>
    createQuarantineTrials({
      table,
      holder: `entry-${index}`,
      clock: () => now,
      log: errorFreeLog,
    }),
  );
  return {
    entries,
    pass: (time: number) => (now += time),
    setFault: (next: HostError | undefined) => (fault = next),
  };
}

async function claimAll({entries}: ReturnType<typeof startEntries>) {
  const claims = entries.map(trials => trials.claim('request'));
  return (await Promise.all(claims)).filter(isClaimed => isClaimed).length;
}

test.each([1, 10, 390])(
  '%i entries together try a quarantined request once',
  async count => {
    const site = startEntries(count);
    expect(await claimAll(site)).toBe(0);
    site.pass(LONG);
    expect(await claimAll(site)).toBe(1);
    site.pass(LONG);
    expect(await claimAll(site)).toBe(0);
  },
);

test('an unused trial can be claimed by another entry', async () => {
  const site = startEntries(2);
  await claimAll(site);
  site.pass(LONG);
  expect(await site.entries[0]!.claim('request')).toBe(true);
  site.entries[0]!.release('request');
  expect(await site.entries[1]!.claim('request')).toBe(true);
});

test('a claim whose answer is lost leads to no second trial', async () => {
  const site = startEntries(3);
  await claimAll(site);
  site.pass(LONG);
  site.setFault({kind: 'noAnswer', progress: 'underWay', detail: 'lost'});
  expect(await claimAll(site)).toBe(0);
  site.setFault(undefined);
  expect(await claimAll(site)).toBe(0);
});

test('an unavailable store delays the trial', async () => {
  const site = startEntries(1);
  await claimAll(site);
  site.pass(LONG);
  site.setFault({kind: 'unavailable', detail: 'busy'});
  expect(await claimAll(site)).toBe(0);
  site.setFault(undefined);
  expect(await claimAll(site)).toBe(1);
});

test('callers are told when the trial is due', async () => {
  const {entries, pass} = startEntries(1);
  const [trials] = entries;
  const first = trials!.retryAfter('request');
  pass(first / 2);
  expect(trials!.retryAfter('request')).toBe(first / 2);
  pass(first / 2);
  expect(await trials!.claim('request')).toBe(true);
});
