import {parseArgs} from 'node:util';
import {DEMO_MODEL} from '../../demo/rollout';
import {callService} from '../../demo/requests';
import {DEMO_OPERATION, DEMO_SERVICE} from '../../demo/rollout';
import {exchangeJson} from '../../demo/site/http';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import type {SmallSite, SmallSiteOptions} from '../../demo/site/small_site';
import {sendLoad} from '../shared/load';
import {fitLine, type Fit, type Point} from './fit';
import {startServedSite} from './served_site';
import {measureSite, type RoleUse, type SiteUse} from './measure_site';

const {values} = parseArgs({
  options: {
    json: {type: 'boolean', default: false},
    only: {type: 'string'},
  },
});

/** How long an idle site is measured. */
const IDLE_SECONDS = 20;

/** Time for sessions, caches and compiled code to settle before measuring. */
const SETTLE_SECONDS = 10;

function pause(seconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, seconds * 1_000));
}

type Series = Readonly<Record<string, Fit>>;

function fitSeries(
  points: readonly {readonly x: number; readonly use: SiteUse}[],
): Series {
  const fitOf = (read: (use: SiteUse) => number): Fit =>
    fitLine(points.map(({x, use}): Point => ({x, y: read(use)})));
  const role = (name: 'entry' | 'agent', field: keyof RoleUse) =>
    fitOf(use => use[name][field]);
  return {
    entryCpuShare: role('entry', 'cpuShare'),
    entryBytesPerSecond: role('entry', 'bytesPerSecond'),
    entryResidentBytes: role('entry', 'residentBytes'),
    agentCpuShare: role('agent', 'cpuShare'),
    agentBytesPerSecond: role('agent', 'bytesPerSecond'),
    agentResidentBytes: role('agent', 'residentBytes'),
    tableReadsPerSecond: fitOf(use => use.tableReads / use.seconds),
    tableWritesPerSecond: fitOf(use => use.tableWrites / use.seconds),
  };
}

async function measureIdleSite(
  options: Partial<SmallSiteOptions>,
): Promise<SiteUse> {
  const site = await startServedSite(options);
  try {
    await pause(SETTLE_SECONDS);
    return await measureSite(site, () => pause(IDLE_SECONDS));
  } finally {
    await site.stop();
  }
}

async function idleByTargets(): Promise<Series> {
  const points = [];
  for (const engines of [4, 8, 16, 32]) {
    points.push({
      x: engines,
      use: await measureIdleSite({entries: 2, engines}),
    });
  }
  return fitSeries(points);
}

async function idleByEntries(): Promise<Series> {
  const points = [];
  for (const entries of [2, 4, 6, 8]) {
    points.push({
      x: entries,
      use: await measureIdleSite({entries, engines: 4}),
    });
  }
  return fitSeries(points);
}

/** Runs a series on a single site, one measurement for each x. */
async function measureOnOneSite(
  options: Partial<SmallSiteOptions>,
  xs: readonly number[],
  action: (site: SmallSite, x: number) => Promise<void>,
): Promise<Series> {
  const site = await startServedSite(options);
  try {
    await action(site, xs[0] ?? 1);
    await pause(SETTLE_SECONDS / 2);
    const points = [];
    for (const x of xs) {
      const use = await measureSite(site, () => action(site, x));
      points.push({x, use: toTotals(use)});
    }
    return fitSeries(points);
  } finally {
    await site.stop();
  }
}

/** Converts rates to totals of the window, for series over counts. */
function toTotals(use: SiteUse): SiteUse {
  const total = (role: RoleUse): RoleUse => ({
    ...role,
    cpuShare: role.cpuShare * use.seconds,
    bytesPerSecond: role.bytesPerSecond * use.seconds,
  });
  return {
    ...use,
    entry: total(use.entry),
    agent: total(use.agent),
    seconds: 1,
  };
}

const REQUESTS = 1_000;

function byTokens(): Promise<Series> {
  const engineOptions = [
    '--slots=512',
    '--queue-limit=1024',
    '--token-time=1',
    '--first-token-time=1',
  ];
  return measureOnOneSite(
    {entries: 1, engines: 1, engineOptions},
    [8, 32, 64, 128],
    async (site, tokens) => {
      await sendLoad({
        url: site.entries[0]?.url ?? '',
        model: DEMO_MODEL,
        requests: REQUESTS,
        concurrency: 32,
        tokens,
      });
    },
  );
}

let claims = 0;

function byClaims(): Promise<Series> {
  const path = {service: DEMO_SERVICE, operation: DEMO_OPERATION};
  return measureOnOneSite(
    {entries: 1, engines: 1, plainServices: 1},
    [200, 400, 800, 1_600],
    async (site, count) => {
      const url = site.entries[0]?.url ?? '';
      let sent = 0;
      const sendCalls = async (): Promise<void> => {
        while (sent < count) {
          sent += 1;
          claims += 1;
          const key = `claim-${claims}`;
          const body = {reference: key};
          await callService(url, 'mower-app', path, body, key);
        }
      };
      await Promise.all(Array.from({length: 16}, sendCalls));
    },
  );
}

let changes = 0;

function byChanges(): Promise<Series> {
  return measureOnOneSite(
    {entries: 3, engines: 8},
    [5, 10, 20, 40],
    async (site, count) => {
      // The same window for all counts makes the idle cost the intercept.
      const end = pause(30);
      const [entry] = site.entries;
      const headers = {authorization: `Bearer ${DEMO_KEYS.operator}`};
      for (let number = 0; number < count; number++) {
        changes += 1;
        const change = {
          kind: 'workspace',
          workspace: 'mower-app',
          weight: changes + 1,
        };
        const {plan} = await exchangeJson<{plan: {planId: string}}>(
          'POST',
          `${entry?.url}/v1/intents/plan`,
          JSON.stringify({changes: [change]}),
          {...headers, 'content-type': 'application/yaml'},
        );
        await exchangeJson(
          'POST',
          `${entry?.url}/v1/plans/${plan.planId}/confirm`,
          undefined,
          headers,
        );
      }
      await end;
    },
  );
}

const SERIES: Readonly<Record<string, () => Promise<Series>>> = {
  idleByTargets,
  idleByEntries,
  byTokens,
  byClaims,
  byChanges,
};

async function main(): Promise<void> {
  const report: Record<string, Series> = {};
  for (const [name, run] of Object.entries(SERIES)) {
    if (values.only !== undefined && values.only !== name) continue;
    report[name] = await run();
    if (!values.json) describe(name, report[name]);
  }
  if (values.json) console.log(JSON.stringify(report));
}

function describe(name: string, fits: Series): void {
  console.log(name);
  for (const [figure, fit] of Object.entries(fits)) {
    const points = fit.points.map(({x, y}) => `${x}: ${y.toPrecision(4)}`);
    console.log(
      `  ${figure}: ${fit.intercept.toPrecision(4)} + ${fit.slope.toPrecision(4)} x, residual ${(fit.residual * 100).toFixed(1)}%  (${points.join(', ')})`,
    );
  }
}

main().then(
  () => process.exit(0),
  error => {
    console.error(error);
    process.exit(1);
  },
);
