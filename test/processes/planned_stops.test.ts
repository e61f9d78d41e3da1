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

/** What the site promises: after so long a leaving target starts nothing. */
const NOTHING_NEW_AFTER = 2_000;

/** Requests sent after that, through both entries. */
const LATER_REQUESTS = 24;

/** As slow as a large model, so that an answer spans the time to leave. */
const TOKEN_TIME = 20;

/** Five seconds of such an engine. */
const LONG_ANSWER = 250;

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
  const times = {tokenTime: TOKEN_TIME};
  await Promise.all(site.engines.map(({url}) => setFaults(url, times)));
});

afterAll(() => site?.stop());

function engine(index: number): RunningTarget {
  const found = site.engines[index];
  if (found === undefined) throw new Error(`no engine ${index}`);
  return found;
}

function ask(
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
 * Has long answers in progress everywhere, marks one target as leaving and
 * counts what it starts from two seconds later on.
 */
async function leaveUnderLoad(
  target: RunningTarget,
  name: string,
  mark: () => Promise<unknown> | void,
): Promise<void> {
  const long: Promise<GenerateResult>[] = [];
  await waitFor(
    async () => {
      long.push(...ask(`${name} long ${long.length}`, 2, LONG_ANSWER));
      await sleep(200);
      return (await runningAt(target)) > 0;
    },
    `${target.name} to run an answer`,
    STARTUP_TIMEOUT_MS,
  );
  await mark();
  const meanwhile = ask(`${name} meanwhile`, LATER_REQUESTS, 4);
  await sleep(NOTHING_NEW_AFTER);
  const before = await startedAt(target);
  const later = await Promise.all(ask(`${name} later`, LATER_REQUESTS, 4));
  const ended = await Promise.all([...long, ...meanwhile]);
  const unfinished = [...ended, ...later]
    .filter(({outcome}) => outcome !== 'whole')
    .map(({outcome, reason, tokens}) => ({outcome, reason, tokens}));
  expect(unfinished).toEqual([]);
  expect(await startedAt(target)).toBe(before);
}

async function waitUntilItServesAgain(target: RunningTarget): Promise<void> {
  const before = await startedAt(target);
  await waitFor(
    async () => {
      await Promise.all(ask('back', 16, 4));
      return (await startedAt(target)) > before;
    },
    `${target.name} to serve again`,
    STARTUP_TIMEOUT_MS,
  );
}

describe('a leaving target', () => {
  // The platform takes an instance away and marks it in its list. Work sent
  // there later would be cut when the instance stops; its long answers must
  // still come to their end.
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
    await waitUntilItServesAgain(target);
  });

  // An operator confirms that a target leaves, and later that it joins again.
  // Its agent runs all the time; it must be given work as before.
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
    await waitUntilItServesAgain(target);
  });

  // The agent is told to stop by its signal; it ends only after the answers.
  test('starts nothing new and finishes what it runs when its agent is stopped', async () => {
    const target = engine(2);
    await leaveUnderLoad(target, 'signal', () =>
      target.agent.signal('SIGTERM'),
    );
    expect(await target.agent.exited).toBe(0);
  });
});

interface Listed {
  readonly addresses: readonly string[];
  readonly keptUntil: number;
}

async function askForEntries(url: string): Promise<Listed> {
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
  // An entry is stopped while its callers hold its address. Another entry is
  // paused at that moment: it hears of the stop late and goes on naming the
  // address. All of these callers come for as long as they may, and the last
  // of them with a long answer; a refused connection is a lost request.
  test('cuts no caller that may still hold its address', async () => {
    const [first, second] = site.entries;
    if (first === undefined || second === undefined) throw new Error('entries');
    await waitFor(
      async () => (await askForEntries(first.url)).addresses.length === 2,
      'the entries to know each other',
      STARTUP_TIMEOUT_MS,
    );
    const early = await Promise.all(
      [first, second].map(entry => askForEntries(entry.url)),
    );
    const askAll = () =>
      Array.from({length: 16}, () => askForEntries(first.url));
    await Promise.all(askAll());
    first.process.signal('SIGSTOP');
    // On open connections, so that the paused entry finds these questions
    // before it finds the word that the other one stops; a heartbeat that came
    // even earlier may bring the word forward, and nobody is misled then.
    const asked = askAll();
    await sleep(200);
    second.process.signal('SIGTERM');
    await sleep(1_000);
    first.process.signal('SIGCONT');
    const late = await Promise.all(asked);
    const address = second.spec.callerAddress;
    const held = late.filter(({addresses}) => addresses.includes(address));
    const ends = await Promise.all([
      ...early.map(list => useUntil(list.keptUntil, second.url, 4)),
      ...held.map(list => useUntil(list.keptUntil, second.url, 100)),
    ]);
    expect(ends.flat().filter(end => end !== 'whole')).toEqual([]);
    expect(await second.process.exited).toBe(0);
    const {addresses} = await askForEntries(first.url);
    expect(addresses).toEqual([first.spec.callerAddress]);
    const after = await exchange('GET', `${first.url}/v1/status`);
    expect(after.status).toBe(401);
  });
});

/** Uses one address to the last moment at which a caller may. */
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
