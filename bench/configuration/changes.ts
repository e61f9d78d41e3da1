import {exchangeJson} from '../../demo/site/http';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import type {SmallSite} from '../../demo/site/small_site';
import type {BenchProcess} from './site_processes';

/** Interval between requests to one process; limits the time resolution. */
const POLL_INTERVAL_MS = 10;

/** The run fails if a process has not reached the generation by then. */
const MAX_WAIT_MS = 120_000;

const OPERATOR_HEADERS = {authorization: `Bearer ${DEMO_KEYS.operator}`};

/** A planned change that is not yet confirmed. */
export interface PlannedChange {
  readonly planId: string;
  readonly base: number;
}

/** Plans a new weight for a workspace at one of the entries. */
export async function planChange(
  site: SmallSite,
  number: number,
): Promise<PlannedChange> {
  const workspaces = Object.keys(DEMO_KEYS.workspaces);
  const workspace = workspaces[number % workspaces.length];
  const {plan} = await exchangeJson<{plan: PlannedChange}>(
    'POST',
    `${entryFor(site, number)}/v1/intents/plan`,
    {
      summary: `change ${number}`,
      changes: [{kind: 'workspace', workspace, open: true, weight: number + 2}],
    },
    OPERATOR_HEADERS,
  );
  return plan;
}

/** Confirms a plan at one of the entries and returns its generation. */
export async function confirmChange(
  site: SmallSite,
  number: number,
  planId: string,
): Promise<number> {
  const url = `${entryFor(site, number)}/v1/plans/${planId}/confirm`;
  const reply = await exchangeJson<{generation: number}>(
    'POST',
    url,
    undefined,
    OPERATOR_HEADERS,
  );
  return reply.generation;
}

function entryFor(site: SmallSite, number: number): string {
  const entry = site.entries[number % site.entries.length];
  if (entry === undefined) throw new Error('the site has no entry');
  return entry.url;
}

/** Resolves with the time at which the process has reached the generation. */
export async function waitForGeneration(
  process: BenchProcess,
  generation: number,
): Promise<number> {
  const end = performance.now() + MAX_WAIT_MS;
  while (performance.now() < end) {
    const known = await process.requestGeneration();
    if (known !== undefined && known >= generation) return performance.now();
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(`${process.name} did not reach generation ${generation}`);
}

/** Resolves once the head row of the table has reached the generation. */
export async function waitForCommit(
  site: SmallSite,
  generation: number,
): Promise<void> {
  while ((await readHeadGeneration(site)) < generation) {
    await new Promise(resolve => setTimeout(resolve, 1));
  }
}

/** Reads the generation of the head row. */
export async function readHeadGeneration(site: SmallSite): Promise<number> {
  const {row} = await exchangeJson<{
    row: {value: {generation: number}} | null;
  }>('POST', `${site.platformUrl}/table/read`, {key: 'configuration/head'});
  return row?.value.generation ?? 0;
}

/** Whether the plan is confirmed in the table with the returned generation. */
export async function isPlanCommitted(
  site: SmallSite,
  planId: string,
  generation: number,
): Promise<boolean> {
  const {row} = await exchangeJson<{
    row: {value: {state: {kind: string; generation?: number}}} | null;
  }>('POST', `${site.platformUrl}/table/read`, {key: `plans/${planId}`});
  const state = row?.value.state;
  return state?.kind === 'confirmed' && state.generation === generation;
}
