import {afterAll, beforeAll, expect, test} from 'vitest';
import {waitFor} from '../../demo/rollout';
import {exchangeJson} from '../../demo/site/http';
import type {SiteProcess} from '../../demo/site/processes';
import {
  breakHead,
  ODD_STATUS_HEADS,
  SAMPLE_HEADS,
  type BrokenHead,
} from '../fleet/fixtures/broken_heads';
import {callOnce, generate} from './callers';
import {
  entryUrl,
  plainService,
  startServedSite,
  STARTUP_TIMEOUT_MS,
  type ServedSite,
} from './served_site';

const HEADS = [...ODD_STATUS_HEADS, ...SAMPLE_HEADS.slice(1)];

const REQUEST = {requestId: '', resumeAfter: undefined};

const DEADLINE = '1500ms';

let site: ServedSite;
let entry: string;
let processes: readonly SiteProcess[];
let exited: string[];

beforeAll(async () => {
  site = await startServedSite({entries: 1, engines: 1, plainServices: 1});
  entry = entryUrl(site, 0);
  exited = [];
  processes = [...site.entries.map(({process}) => process), ...agents()];
  for (const {name, exited: ended} of processes) {
    void ended.then(() => exited.push(name));
  }
});

afterAll(() => site?.stop());

function agents(): readonly SiteProcess[] {
  return [...site.engines, ...site.plainServices].map(({agent}) => agent);
}

/**
 * Sets what a server sends instead of its answers; returns the paths of the
 * requests that it has answered so until now.
 */
async function setAnswer(
  url: string,
  head: BrokenHead | undefined,
): Promise<readonly string[]> {
  const content = {status: '200', body: '{}\n'};
  const bytes =
    head === undefined ? null : breakHead(head, content, REQUEST).bytes;
  const reply = await exchangeJson<{answered: readonly string[]}>(
    'POST',
    `${url}/raw-answer`,
    {bytes},
  );
  return reply.answered;
}

let calls = 0;

function call(deadline = DEADLINE) {
  calls += 1;
  const reference = `broken-${calls}`;
  return callOnce(entry, {reference, key: reference, deadline});
}

const ask = () =>
  generate(entry, {prompt: `broken ${calls}`, deadline: DEADLINE});

async function waitUntilAnswered(): Promise<void> {
  await waitFor(
    async () =>
      (await call()).outcome === 'answered' &&
      (await ask()).outcome === 'whole',
    'the site to answer',
    STARTUP_TIMEOUT_MS,
  );
}

test.each(HEADS)(
  'a target that sends $name gives its callers no answer, and ends no process',
  async head => {
    await waitUntilAnswered();
    const {url: service} = plainService(site);
    const engines = site.engines.map(({url}) => url);
    for (const url of [service, ...engines]) await setAnswer(url, head);
    const [called, generated] = await Promise.all([call(), ask()]);
    const answered = await setAnswer(service, undefined);
    for (const url of engines) await setAnswer(url, undefined);
    // The service may have run a call that has reached it.
    const isSent = answered.some(path => path.startsWith('/calls/'));
    expect(called.outcome).toBe(isSent ? 'outcomeUnknown' : 'notRun');
    expect(['notRun', 'outcomeUnknown', 'broken']).toContain(generated.outcome);
    expect(exited).toEqual([]);
  },
);

test.each(HEADS)(
  'a platform that sends $name ends no process, and the site recovers',
  async head => {
    await setAnswer(site.platformUrl, head);
    await Promise.all([call(), ask()]);
    expect(await setAnswer(site.platformUrl, undefined)).not.toEqual([]);
    await waitUntilAnswered();
    expect(exited).toEqual([]);
  },
);
