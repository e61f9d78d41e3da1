import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {waitUntilServed} from '../../demo/rollout';
import {exchangeJson} from '../../demo/site/http';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import type {RunningEntry, RunningTarget} from '../../demo/site/small_site';
import {callOnce, generate} from './callers';
import {
  runsOf,
  setFaults,
  startServedSite,
  waitUntilCallable,
  type ServedSite,
} from './served_site';

const TOKEN_TIME_MS = 20;

let site: ServedSite;

beforeAll(async () => {
  site = await startServedSite({
    entries: 2,
    engines: 2,
    plainServices: 2,
    addressesKeptFor: '2s',
  });
  const times = {tokenTime: TOKEN_TIME_MS};
  await Promise.all(site.engines.map(({url}) => setFaults(url, times)));
});

afterAll(() => site?.stop());

/** A caller that requests entry addresses and caches them for a while. */
function createCaller(entries: () => readonly RunningEntry[]) {
  let addresses: readonly string[] = [];
  let keptUntil = 0;
  let turn = 0;

  async function refresh(): Promise<void> {
    const known = addresses[0] ?? entries()[0]?.spec.callerAddress;
    const requestedAt = performance.now();
    const reply = await exchangeJson<{
      entries: {address: string}[];
      keepForMilliseconds: number;
    }>('GET', `http://${known}/v1/entries`, undefined, {
      authorization: `Bearer ${DEMO_KEYS.workspaces['call-centre']}`,
    });
    addresses = reply.entries.map(({address}) => address);
    keptUntil = requestedAt + reply.keepForMilliseconds / 2;
  }

  return {
    next: async (): Promise<string> => {
      if (performance.now() >= keptUntil) await refresh();
      turn += 1;
      return `http://${addresses[turn % addresses.length]}`;
    },
  };
}

interface Tally {
  readonly references: string[];
  readonly lost: string[];
  answers: number;
}

const RETRY_PAUSE_MS = 200;

async function pause(): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
}

/** Sends a charge with one key until it gets a final answer. */
async function charge(
  caller: ReturnType<typeof createCaller>,
  reference: string,
  tally: Tally,
): Promise<void> {
  tally.references.push(reference);
  for (;;) {
    const url = await caller.next();
    const key = `key-${reference}`;
    const end = await callOnce(url, {reference, key, deadline: '20s'});
    if (end.outcome === 'notRun') {
      await pause();
      continue;
    }
    if (end.answeredReference === reference) tally.answers += 1;
    else tally.lost.push(`${reference}: ${end.outcome} ${end.text}`);
    return;
  }
}

/** Sends a generate request until it gets an answer other than "not run". */
async function generateAnswer(
  caller: ReturnType<typeof createCaller>,
  prompt: string,
  tally: Tally,
): Promise<void> {
  for (;;) {
    const url = await caller.next();
    const maximumTokens = 5 + (prompt.length % 3) * 40;
    const end = await generate(url, {prompt, maximumTokens});
    if (end.outcome === 'notRun') {
      await pause();
      continue;
    }
    if (end.outcome === 'whole') tally.answers += 1;
    else tally.lost.push(`${prompt}: ${end.outcome} ${end.reason}`);
    return;
  }
}

describe('a rolling replacement of all entries and agents', () => {
  // Every entry and every agent is replaced, one after another, while callers
  // of models and services keep sending requests. None of the charges may be
  // lost or run twice.
  test('loses and doubles nothing under constant load', async () => {
    const tally: Tally = {references: [], lost: [], answers: 0};
    let current: readonly RunningEntry[] = site.entries;
    let replaced = false;
    let sentCount = 0;
    const load = async (number: number): Promise<void> => {
      const caller = createCaller(() => current);
      for (let round = 0; !replaced; round += 1) {
        sentCount += 2;
        await charge(caller, `charge-${number}-${round}`, tally);
        await generateAnswer(
          caller,
          `note ${number} ${'.'.repeat(round % 7)}`,
          tally,
        );
      }
    };
    const callers = Promise.all([1, 2, 3, 4, 5, 6].map(load));
    // Awaited at the end; prevents an unhandled rejection until then.
    callers.catch(() => undefined);

    const replaceEntries = async (): Promise<void> => {
      for (const old of site.entries) {
        const added = await site.addEntry(`${old.name}-next`);
        current = [...current.filter(entry => entry !== old), added];
        old.process.signal('SIGTERM');
        expect(await old.process.exited).toBe(0);
        await site.delist(old.name);
      }
    };
    const replaceAgent = async (target: RunningTarget): Promise<void> => {
      target.agent.signal('SIGTERM');
      expect(await target.agent.exited).toBe(0);
      await site.restartAgent(target);
    };
    await replaceEntries();
    for (const target of site.engines) {
      await replaceAgent(target);
      const {versionDigest} = site;
      const view = {...site, entries: current};
      await waitUntilServed(view, versionDigest, DEMO_KEYS.operator);
    }
    for (const target of site.plainServices) {
      await replaceAgent(target);
      await waitUntilCallable(site, urlsOf(current));
    }
    replaced = true;
    await callers;

    expect(tally.lost).toEqual([]);
    expect(tally.answers).toBe(sentCount);
    expect(tally.references.length).toBeGreaterThan(50);
    const runs = await Promise.all(
      tally.references.map(reference => runsOf(site, reference)),
    );
    expect(runs.filter(count => count !== 1)).toEqual([]);
  });
});

function urlsOf(entries: readonly RunningEntry[]): string[] {
  return entries.map(entry => entry.url);
}
