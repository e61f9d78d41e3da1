import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {callModel, type ModelAnswer} from '../../demo/requests';
import {
  confirmByCommand,
  DEMO_MODEL,
  initialIntent,
  planByCommand,
  publishVersion,
  serveChange,
  waitFor,
  waitUntilServed,
} from '../../demo/rollout';
import {exchangeJson} from '../../demo/site/http';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import {startSmallSite, type SmallSite} from '../../demo/site/small_site';

const TEST_TIMEOUT_MS = 120_000;

let site: SmallSite;
let secondVersion: string;

async function rollOut(label: string, seed: number): Promise<string> {
  const version = await publishVersion(site, label, seed);
  const engines = site.engines.map(engine => engine.name);
  const intent = {summary: label, changes: [serveChange(engines, label)]};
  const {plan} = await planByCommand(site, intent);
  await confirmByCommand(site, plan.planId);
  return version;
}

/** Sends requests through every entry until stopped. */
function sendConstantly(): {readonly stop: () => Promise<ModelAnswer[]>} {
  let stopped = false;
  const answers: ModelAnswer[] = [];
  const senders = site.entries.flatMap((entry, index) =>
    [1, 2].map(async sender => {
      for (let number = 0; !stopped; number++) {
        const prompt = `fault ${index}/${sender}/${number}`;
        answers.push(
          await callModel(entry.url, 'mower-app', DEMO_MODEL, prompt),
        );
      }
    }),
  );
  return {
    stop: async () => {
      stopped = true;
      await Promise.all(senders);
      return answers;
    },
  };
}

function setFaults(faults: unknown): Promise<unknown> {
  return exchangeJson('POST', `${site.platformUrl}/faults`, faults);
}

async function countOrders(): Promise<number> {
  const counts = await Promise.all(
    site.engines.map(async ({url}) => {
      const {orders} = await exchangeJson<{orders: unknown[]}>(
        'GET',
        `${url}/orders`,
      );
      return orders.length;
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

interface VersionStatus {
  readonly versionDigest: string;
  readonly chunksHeld: number;
  readonly chunksTotal: number;
}

async function everyEngineHolds(version: string): Promise<boolean> {
  const [entry] = site.entries;
  const status = await exchangeJson<{versions: VersionStatus[]}>(
    'GET',
    `${entry?.url}/v1/status`,
    undefined,
    {authorization: `Bearer ${DEMO_KEYS.operator}`},
  );
  const line = status.versions.find(found => found.versionDigest === version);
  if (line === undefined || line.chunksTotal === 0) return false;
  return line.chunksHeld === line.chunksTotal;
}

beforeAll(async () => {
  site = await startSmallSite({
    entries: 2,
    engines: 3,
    plainServices: 0,
    binary: false,
  });
  const version = await publishVersion(site, 'one', 1);
  const {plan} = await planByCommand(site, initialIntent(site, 'one'));
  await confirmByCommand(site, plan.planId);
  await waitUntilServed(site, version, DEMO_KEYS.operator);
}, TEST_TIMEOUT_MS);

afterAll(() => site.stop());

describe('a rollout on real processes', () => {
  // Callers send requests while the version changes on every engine. Engines
  // hold one version at a time: each unloads the old one under a permit and
  // loads the new one. Each answer must be complete and from one version, and
  // no request may fail with "no target": the floor keeps two engines serving.
  test(
    'answers every request whole while versions swap',
    async () => {
      const load = sendConstantly();
      const version = await rollOut('two', 2);
      secondVersion = version;
      await waitUntilServed(site, version, DEMO_KEYS.operator);
      const answers = await load.stop();
      const outcomes = new Set(answers.map(answer => answer.outcome));
      const versions = new Set(answers.map(answer => answer.versionDigest));
      expect([...outcomes]).toEqual(['answered']);
      expect(versions.has(version)).toBe(true);
      expect(versions.size).toBe(2);
    },
    TEST_TIMEOUT_MS,
  );

  // The table goes down right after the commit. Agents fetch the new version
  // but cannot get a permit, so no engine may unload the old one, which keeps
  // serving. After the outage the swaps must continue.
  test(
    'swaps nothing and serves on while the platform is down',
    async () => {
      const version = await publishVersion(site, 'three', 3);
      const engines = site.engines.map(engine => engine.name);
      const intent = {changes: [serveChange(engines, 'three')]};
      const {plan} = await planByCommand(site, intent);
      await setFaults({weights: {outage: true}});
      await confirmByCommand(site, plan.planId);
      const before = await countOrders();
      await setFaults({table: {outage: true}, weights: {outage: false}});
      await waitFor(() => everyEngineHolds(version), 'chunks on every engine');
      const [entry] = site.entries;
      const during: ModelAnswer[] = [];
      for (let number = 0; number < 20; number++) {
        const prompt = `outage ${number}`;
        const url = entry?.url ?? '';
        during.push(await callModel(url, 'mower-app', DEMO_MODEL, prompt));
      }
      expect(await countOrders()).toBe(before);
      const answered = {outcome: 'answered', versionDigest: secondVersion};
      for (const answer of during) expect(answer).toMatchObject(answered);
      await setFaults({table: {outage: false}});
      await waitUntilServed(site, version, DEMO_KEYS.operator);
    },
    TEST_TIMEOUT_MS,
  );
});
