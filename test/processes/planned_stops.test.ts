import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {serveChange, waitFor} from '../../demo/rollout';
import {exchange, exchangeJson} from '../../demo/site/http';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import type {RunningTarget} from '../../demo/site/small_site';
import {generate, type GenerateResult} from './callers';
import {
  planAndConfirm,
  STARTUP_TIMEOUT_MS,
  runsAt,
  setFaults,
  startServedSite,
  type ServedSite,
} from './served_site';

/** Time after which a leaving target must start no more requests. */
const DRAINING_BOUND_MS = 2_000;

/** Requests sent after that, through both entries. */
const LATER_REQUESTS = 24;

/** Token time of a large model; answers outlast the time to leave. */
const TOKEN_TIME_MS = 20;

/** Tokens of an answer that takes five seconds. */
const LONG_ANSWER_TOKENS = 250;

let site: ServedSite;
let urls: readonly string[];

beforeAll(async () => {
  site = await startServedSite({
    entries: 2,
    engines: 4,
    plainServices: 0,
    addressesKeptFor: '3s',
  });
  urls = site.entries.map(entry => entry.url);
  const times = {tokenTime: TOKEN_TIME_MS};
  await Promise.all(site.engines.map(({url}) => setFaults(url, times)));
});

afterAll(() => site?.stop());

function engine(index: number): RunningTarget {
  const found = site.engines[index];
  if (found === undefined) throw new Error(`no engine ${index}`);
  return found;
}

function sendRequests(
  name: string,
  count: number,
  maximumTokens: number,
): readonly Promise<GenerateResult>[] {
  return Array.from({length: count}, (_, index) =>
    generate(urls[index % urls.length] ?? '', {
      prompt: `${name} ${index}`,
      maximumTokens,
    }),
  );
}

async function sleep(duration: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, duration));
}

async function startedAt(target: RunningTarget): Promise<number> {
  const runs = await runsAt(target);
  return Object.values(runs).reduce((sum, count) => sum + count, 0);
}

async function runningAt(target: RunningTarget): Promise<number> {
  const report = await exchangeJson<{running: number}>(
    'GET',
    `${target.url}/report`,
  );
  return report.running;
}

/**
 * Marks a target as leaving while long answers are in progress, and checks that
 * it starts nothing from two seconds later on and that all answers finish.
 */
async function leaveUnderLoad(
  target: RunningTarget,
  name: string,
  mark: () => Promise<unknown> | void,
): Promise<void> {
  const long: Promise<GenerateResult>[] = [];
  await waitFor(
    async () => {
      long.push(
        ...sendRequests(`${name} long ${long.length}`, 2, LONG_ANSWER_TOKENS),
      );
      await sleep(200);
      return (await runningAt(target)) > 0;
    },
    `${target.name} to run an answer`,
    STARTUP_TIMEOUT_MS,
  );
  await mark();
  const meanwhile = sendRequests(`${name} meanwhile`, LATER_REQUESTS, 4);
  await sleep(DRAINING_BOUND_MS);
  const before = await startedAt(target);
  const later = await Promise.all(
    sendRequests(`${name} later`, LATER_REQUESTS, 4),
  );
  const ended = await Promise.all([...long, ...meanwhile]);
  const unfinished = [...ended, ...later]
    .filter(({outcome}) => outcome !== 'whole')
    .map(({outcome, reason, tokens}) => ({outcome, reason, tokens}));
  expect(unfinished).toEqual([]);
  expect(await startedAt(target)).toBe(before);
}

async function waitUntilServesAgain(target: RunningTarget): Promise<void> {
  const before = await startedAt(target);
  await waitFor(
    async () => {
      await Promise.all(sendRequests('back', 16, 4));
      return (await startedAt(target)) > before;
    },
    `${target.name} to serve again`,
    STARTUP_TIMEOUT_MS,
  );
}

describe('a leaving target', () => {
  // The platform marks an instance as leaving in its list. Requests that are
  // sent to it later would be cut off when it stops; its long answers must
  // still finish.
  test('starts nothing new and finishes what it runs when the list says so', async () => {
    const target = engine(0);
    const {instance, zone, region, siteAddress: address} = target.spec;
    const listed = {instance, role: 'agent', address, zone, region};
    const put = (state: string) =>
      exchangeJson('PUT', `${site.platformUrl}/instances/${instance}`, {
        ...listed,
        state,
      });
    await leaveUnderLoad(target, 'list', () => put('leaving'));

    await put('live');
    await waitUntilServesAgain(target);
  });

  // An operator confirms that a target leaves, and later that it joins again
  // while its agent keeps running. It must then get requests as before.
  test('starts nothing new and finishes what it runs when its intent is confirmed', async () => {
    const target = engine(1);
    await leaveUnderLoad(target, 'intent', () =>
      planAndConfirm(site, {
        summary: 'one engine leaves',
        changes: [{kind: 'leave', targets: [target.name]}],
      }),
    );

    const names = site.engines.map(({name}) => name);
    await planAndConfirm(site, {
      summary: 'it joins again',
      changes: [
        {kind: 'join', targets: [target.name]},
        serveChange(names, 'first'),
      ],
    });
    await waitUntilServesAgain(target);
  });

  // The agent is stopped by a signal and must exit only after the answers.
  test('starts nothing new and finishes what it runs when its agent is stopped', async () => {
    const target = engine(2);
    await leaveUnderLoad(target, 'signal', () =>
      target.agent.signal('SIGTERM'),
    );
    expect(await target.agent.exited).toBe(0);
  });
});

interface EntryList {
  readonly addresses: readonly string[];
  readonly keptUntil: number;
}

async function requestEntryList(url: string): Promise<EntryList> {
  const reply = await exchangeJson<{
    entries: {address: string}[];
    keepForMilliseconds: number;
  }>('GET', `${url}/v1/entries`, undefined, {
    authorization: `Bearer ${DEMO_KEYS.workspaces['shop-counter']}`,
  });
  return {
    addresses: reply.entries.map(({address}) => address),
    keptUntil: performance.now() + reply.keepForMilliseconds,
  };
}

describe('the planned stop of an entry', () => {
  // An entry is stopped while callers hold its address. Another entry is frozen
  // meanwhile, learns of the stop late and still lists the address. Callers use
  // the address for as long as they may, the last time for a long answer. A
  // refused connection would lose their request.
  test('cuts no caller that may still hold its address', async () => {
    const [first, second] = site.entries;
    if (first === undefined || second === undefined) throw new Error('entries');
    await waitFor(
      async () => (await requestEntryList(first.url)).addresses.length === 2,
      'the entries to know each other',
      STARTUP_TIMEOUT_MS,
    );
    const early = await Promise.all(
      [first, second].map(entry => requestEntryList(entry.url)),
    );
    const requestAllEntryLists = () =>
      Array.from({length: 16}, () => requestEntryList(first.url));
    await Promise.all(requestAllEntryLists());
    first.process.signal('SIGSTOP');
    // Open connections let the frozen entry read these requests before the
    // message that the other one stops. If a heartbeat reports the stop even
    // earlier, the address is not listed.
    const pendingLists = requestAllEntryLists();
    await sleep(200);
    second.process.signal('SIGTERM');
    await sleep(1_000);
    first.process.signal('SIGCONT');
    const late = await Promise.all(pendingLists);
    const address = second.spec.callerAddress;
    const listsWithAddress = late.filter(({addresses}) =>
      addresses.includes(address),
    );
    const ends = await Promise.all([
      ...early.map(list => useUntil(list.keptUntil, second.url, 4)),
      ...listsWithAddress.map(list =>
        useUntil(list.keptUntil, second.url, 100),
      ),
    ]);
    expect(ends.flat().filter(end => end !== 'whole')).toEqual([]);
    expect(await second.process.exited).toBe(0);
    const {addresses} = await requestEntryList(first.url);
    expect(addresses).toEqual([first.spec.callerAddress]);
    const after = await exchange('GET', `${first.url}/v1/status`);
    expect(after.status).toBe(401);
  });
});

/** Uses an address until the end of the time for which it was given. */
async function useUntil(
  keptUntil: number,
  url: string,
  lastTokens: number,
): Promise<readonly string[]> {
  const ends: string[] = [];
  for (let round = 0; performance.now() < keptUntil; round += 1) {
    ends.push(await outcomeOf(url, `hold ${keptUntil} ${round}`, 4));
    await sleep(Math.min(200, Math.max(0, keptUntil - performance.now() - 20)));
    if (performance.now() > keptUntil - 40) break;
  }
  ends.push(await outcomeOf(url, `last ${keptUntil}`, lastTokens));
  return ends;
}

async function outcomeOf(
  url: string,
  prompt: string,
  maximumTokens: number,
): Promise<string> {
  try {
    return (await generate(url, {prompt, maximumTokens})).outcome;
  } catch (error) {
    return String(error);
  }
}
