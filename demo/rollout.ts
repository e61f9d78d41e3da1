import {writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {stringify} from 'yaml';
import {runJsonCommand} from './site/command_line';
import {exchangeJson} from './site/http';
import type {SmallSite} from './site/small_site';

/** The model that the demonstration serves. */
export const DEMO_MODEL = 'repair-notes';

/** The plain service of the demonstration. */
export const DEMO_SERVICE = 'invoicing';

/** The operation of that service that must run at most once. */
export const DEMO_OPERATION = 'charge-warranty';

const CHUNK_COUNT = 64;
const CHUNK_BYTES = 16 * 1024;

/** Interval between checks of a condition that is waited for. */
const POLL_INTERVAL_MS = 100;

const MAX_WAIT_MS = 30_000;

/** Part of the error text for a plan with a target unknown to the entry. */
const UNKNOWN_TARGET_TEXT = 'is known';

/** Publishes a version at the origin; `seed` determines its content. */
export async function publishVersion(
  site: SmallSite,
  label: string,
  seed: number,
  sharedWith?: string,
): Promise<string> {
  const published = await exchangeJson<{versionDigest: string}>(
    'POST',
    `${site.platformUrl}/weights/versions`,
    {
      model: DEMO_MODEL,
      label,
      chunkCount: CHUNK_COUNT,
      chunkSize: CHUNK_BYTES,
      seed,
      ...(sharedWith === undefined ? {} : {sharedWith, sharedShare: 0.5}),
    },
  );
  return published.versionDigest;
}

/** The intent that sets up the whole small site. */
export function initialIntent(site: SmallSite, version: string): unknown {
  const names = (targets: readonly {readonly name: string}[]) =>
    targets.map(target => target.name);
  const engines = names(site.engines);
  return {
    summary: 'serve the repair notes',
    changes: [
      {kind: 'join', targets: [...engines, ...names(site.plainServices)]},
      ...['shop-counter', 'call-centre', 'mower-app'].map(workspace => ({
        kind: 'workspace',
        workspace,
        open: true,
        requestsPerSecond: 1_000,
      })),
      {
        kind: 'service',
        service: DEMO_SERVICE,
        notRepeatable: [DEMO_OPERATION],
      },
      ...(engines.length === 0 ? [] : [serveChange(engines, version)]),
    ],
  };
}

/** The change of an intent that serves the model on these engines. */
export function serveChange(
  engines: readonly string[],
  version: string,
): unknown {
  return {
    kind: 'serve',
    model: DEMO_MODEL,
    version,
    targets: {instances: engines},
    capacityFloor: Math.max(0, engines.length - 1),
    prefer: 'origin-bytes',
  };
}

/** A plan as the command line prints it. */
export interface PlannedIntent {
  readonly plan: {
    readonly planId: string;
    readonly originBytes: number;
    readonly expectedSeconds: number;
    readonly changes: readonly unknown[];
  };
}

/** Plans an intent with the command line tool, without applying it. */
export function planByCommand(
  site: SmallSite,
  intent: unknown,
  binary = false,
): Promise<PlannedIntent> {
  const folder = dirname(site.settings.operatorKeyFile);
  const file = join(folder, 'intent.yaml');
  writeFileSync(file, stringify(intent));
  return runJsonCommand<PlannedIntent>(site, ['intent', 'plan', file], binary);
}

/** Like `planByCommand`, but retries until the entry knows all targets. */
export async function planWhenTargetsKnown(
  site: SmallSite,
  intent: unknown,
  binary = false,
): Promise<PlannedIntent> {
  const planned: PlannedIntent[] = [];
  // The entry polls the instance list, so it learns of new targets about a
  // second after they are listed and refuses the plan until then.
  await waitFor(async () => {
    try {
      planned.push(await planByCommand(site, intent, binary));
    } catch (error) {
      if (!String(error).includes(UNKNOWN_TARGET_TEXT)) throw error;
    }
    return planned.length > 0;
  }, 'the entry to know all targets');
  const [plan] = planned;
  if (plan === undefined) throw new Error('nothing was planned');
  return plan;
}

/** Confirms a plan with the command line tool. */
export function confirmByCommand(
  site: SmallSite,
  planId: string,
  binary = false,
): Promise<{readonly generation: number}> {
  return runJsonCommand<{readonly generation: number}>(
    site,
    ['intent', 'confirm', planId],
    binary,
  );
}

interface StatusReply {
  readonly versions: readonly {
    readonly versionDigest: string;
    readonly instancesDone: number;
    readonly instancesTotal: number;
  }[];
}

/** Waits until every instance that should serve the version does. */
export async function waitUntilServed(
  site: SmallSite,
  versionDigest: string,
  operatorKey: string,
): Promise<void> {
  const headers = {authorization: `Bearer ${operatorKey}`};
  await waitFor(async () => {
    const replies = await Promise.all(
      site.entries.map(entry =>
        exchangeJson<StatusReply>(
          'GET',
          `${entry.url}/v1/status`,
          undefined,
          headers,
        ),
      ),
    );
    return replies.every(reply =>
      reply.versions.some(
        version =>
          version.versionDigest === versionDigest &&
          version.instancesDone === version.instancesTotal,
      ),
    );
  }, `version ${versionDigest} on every instance`);
}

/** Polls `condition` until it holds; throws after `timeout` milliseconds. */
export async function waitFor(
  condition: () => Promise<boolean>,
  description: string,
  timeout = MAX_WAIT_MS,
): Promise<void> {
  const end = performance.now() + timeout;
  while (performance.now() < end) {
    if (await condition()) return;
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(`timed out after ${timeout} ms waiting for ${description}`);
}
