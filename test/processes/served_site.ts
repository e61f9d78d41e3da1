import {requestDump} from '@hibiscusbeam/daemon';
import {
  DEMO_SERVICE,
  initialIntent,
  publishVersion,
  waitFor,
  waitUntilServed,
} from '../../demo/rollout';
import {exchange, exchangeJson} from '../../demo/site/http';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import {
  startSmallSite,
  type RunningTarget,
  type SmallSite,
  type SmallSiteOptions,
} from '../../demo/site/small_site';
import {callOnce} from './callers';

/** Timeout for the startup of a site on a busy machine. */
export const STARTUP_TIMEOUT_MS = 50_000;

/** A small site that serves one version and one plain service. */
export interface ServedSite extends SmallSite {
  readonly versionDigest: string;
}

/** Starts a site, rolls out a version and waits until everything serves. */
export async function startServedSite(
  options: Omit<SmallSiteOptions, 'binary'>,
): Promise<ServedSite> {
  const site = await startSmallSite({...options, binary: false});
  try {
    const versionDigest = await publishVersion(site, 'first', 1);
    const intent = initialIntent(site, 'first');
    // An entry learns of new targets when it next polls the instance list.
    await waitFor(
      () => isPlannable(site, intent),
      'the entry to know all targets',
      STARTUP_TIMEOUT_MS,
    );
    await planAndConfirm(site, intent);
    if (options.engines > 0) {
      await waitUntilServed(site, versionDigest, DEMO_KEYS.operator);
    }
    if (options.plainServices > 0) await waitUntilCallable(site);
    return {...site, versionDigest};
  } catch (error) {
    await site.stop();
    throw error;
  }
}

async function isPlannable(site: SmallSite, intent: unknown): Promise<boolean> {
  const reply = await exchange(
    'POST',
    `${entryUrl(site, 0)}/v1/intents/plan`,
    intent,
    {authorization: `Bearer ${DEMO_KEYS.operator}`},
  );
  return reply.status === 200;
}

/** Plans an intent and confirms it, as an operator would. */
export async function planAndConfirm(
  site: SmallSite,
  intent: unknown,
  entry = 0,
): Promise<void> {
  const url = entryUrl(site, entry);
  const headers = {authorization: `Bearer ${DEMO_KEYS.operator}`};
  const {plan} = await exchangeJson<{plan: {planId: string}}>(
    'POST',
    `${url}/v1/intents/plan`,
    intent,
    headers,
  );
  await exchangeJson(
    'POST',
    `${url}/v1/plans/${plan.planId}/confirm`,
    undefined,
    headers,
  );
}

/** The URL for callers of an entry, counted from 0. */
export function entryUrl(site: SmallSite, index: number): string {
  const entry = site.entries[index];
  if (entry === undefined) throw new Error(`the site has no entry ${index}`);
  return entry.url;
}

/** One plain service, counted from 0. */
export function plainService(site: SmallSite, index = 0): RunningTarget {
  const service = site.plainServices[index];
  if (service === undefined) throw new Error('no such plain service');
  return service;
}

/** Waits until each entry can call the plain service. */
export async function waitUntilCallable(
  site: SmallSite,
  urls = site.entries.map(entry => entry.url),
): Promise<void> {
  let probes = 0;
  for (const url of urls) {
    await waitFor(
      async () => {
        probes += 1;
        const probe = await callOnce(url, {
          operation: 'look-up',
          reference: `probe-${probes}`,
        });
        return probe.outcome === 'answered';
      },
      `${DEMO_SERVICE} to be reached through ${url}`,
      STARTUP_TIMEOUT_MS,
    );
  }
}

/** Number of runs of each reference or attempt at a target. */
export async function runsAt(
  target: Pick<RunningTarget, 'url'>,
): Promise<Readonly<Record<string, number>>> {
  const reply = await exchangeJson<{runs: Record<string, number>}>(
    'GET',
    `${target.url}/runs`,
  );
  return reply.runs;
}

/** Number of runs of a reference over all plain services. */
export async function runsOf(
  site: SmallSite,
  reference: string,
): Promise<number> {
  const counted = await Promise.all(site.plainServices.map(runsAt));
  return counted.reduce((sum, runs) => sum + (runs[reference] ?? 0), 0);
}

/** Sets the faults of a stand-in. */
export async function setFaults(url: string, faults: unknown): Promise<void> {
  await exchangeJson('POST', `${url}/faults`, faults);
}

/** Dumps the state of the process at a site address. */
export async function dumpOf(
  address: string,
): Promise<{readonly requests: {readonly running: number}}> {
  const dump = await requestDump(address, DEMO_KEYS.site);
  if (dump.err) throw new Error(`${address}: ${dump.val.detail}`);
  return JSON.parse(dump.val) as {requests: {running: number}};
}

/** Reads the value of a row of the platform's table. */
export async function rowValue(
  site: SmallSite,
  key: string,
): Promise<{readonly kind?: string; readonly entry?: string} | undefined> {
  const {row} = await exchangeJson<{row: {value: object} | null}>(
    'POST',
    `${site.platformUrl}/table/read`,
    {key},
  );
  return row?.value;
}
