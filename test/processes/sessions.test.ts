import {requestDump} from '@hibiscusbeam/daemon';
import {afterAll, beforeAll, expect, test} from 'vitest';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import {startSmallSite, type SmallSite} from '../../demo/site/small_site';
import {waitUntil} from './moving_site';

let site: SmallSite;

beforeAll(async () => {
  site = await startSmallSite({
    entries: 2,
    engines: 1,
    plainServices: 0,
    binary: false,
  });
});

afterAll(() => site.stop());

/** The liveness of the agent at each entry. */
async function livenessAtEntries(): Promise<readonly (string | undefined)[]> {
  const dumps = await Promise.all(
    site.entries.map(entry =>
      requestDump(entry.spec.siteAddress, DEMO_KEYS.site),
    ),
  );
  return dumps.map(dump => {
    const {membership} = JSON.parse(dump.unwrap()) as {
      membership: readonly {instance: string; liveness: string}[];
    };
    return membership.find(({instance}) => instance === 'engine-1')?.liveness;
  });
}

const waitForLiveness = (liveness: string) =>
  waitUntil(`the agent ${liveness} at every entry`, async () => {
    const seen = await livenessAtEntries();
    return seen.every(one => one === liveness);
  });

// An agent is frozen, or slow to start, for longer than it takes to count as
// dead, and the entries close the session. If they never reconnected, the
// healthy and listed instance would get no more requests, and no new
// configurations while the platform is down.
test('an agent that was silent until it counted as dead is met again', async () => {
  await waitForLiveness('live');
  site.engines[0]?.agent.signal('SIGSTOP');
  await waitForLiveness('dead');
  site.engines[0]?.agent.signal('SIGCONT');
  await waitForLiveness('live');
  expect(await livenessAtEntries()).toEqual(['live', 'live']);
}, 300_000);
