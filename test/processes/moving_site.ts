import {callService, type CallAnswer} from '../../demo/requests';
import {
  DEMO_MODEL,
  DEMO_OPERATION,
  DEMO_SERVICE,
  waitFor,
} from '../../demo/rollout';
import {exchange, exchangeJson} from '../../demo/site/http';
import {DEMO_KEYS, type DemoWorkspace} from '../../demo/site/settings_files';
import {requestActivity} from '../../demo/site/site_peers';
import {startSmallSite, type SmallSite} from '../../demo/site/small_site';

/** Workspaces that move; the third one is never moved. */
export const MOVED_WORKSPACES = ['call-centre', 'shop-counter'] as const;

export const OLDER_LABEL = '2026-10-01.1';

const OPERATOR = {authorization: `Bearer ${DEMO_KEYS.operator}`};

/** An HTTP reply to an operator. */
export interface OperatorReply<Body = Record<string, unknown>> {
  readonly status: number;
  readonly body: Body;
}

/** Sends a request to an entry as an operator. */
export async function requestAsOperator<Body = Record<string, unknown>>(
  method: 'GET' | 'POST' | 'DELETE',
  entryUrl: string,
  path: string,
  body?: unknown,
): Promise<OperatorReply<Body>> {
  const reply = await exchange(method, `${entryUrl}${path}`, body, OPERATOR);
  return {status: reply.status, body: JSON.parse(reply.text) as Body};
}

/** Plans an intent and returns the plan's id; throws if it is refused. */
export async function planIntent(
  entryUrl: string,
  summary: string,
  changes: readonly unknown[],
): Promise<string> {
  const intent = {summary, changes};
  const reply = await requestAsOperator<{plan?: {planId: string}}>(
    'POST',
    entryUrl,
    '/v1/intents/plan',
    intent,
  );
  if (reply.body.plan === undefined) {
    throw new Error(`not planned: ${JSON.stringify(reply.body)}`);
  }
  return reply.body.plan.planId;
}

/** Plans and confirms changes; returns the generation. */
export async function planAndConfirm(
  entryUrl: string,
  summary: string,
  changes: readonly unknown[],
): Promise<number> {
  const planId = await planIntent(entryUrl, summary, changes);
  return (await confirmPlan(entryUrl, planId)).generation;
}

export async function confirmPlan(
  entryUrl: string,
  planId: string,
): Promise<{readonly generation: number; readonly wasConfirmed: boolean}> {
  const path = `/v1/plans/${planId}/confirm`;
  const reply = await requestAsOperator<{
    generation: number;
    wasConfirmed: boolean;
  }>('POST', entryUrl, path);
  if (reply.status !== 200) throw new Error(JSON.stringify(reply.body));
  return reply.body;
}

/** A plan as returned for `intent show`. */
export interface PlanStatus {
  readonly state: {readonly kind: string; readonly generation?: number};
  readonly inForce?: boolean;
  readonly move?: {
    readonly state: {readonly kind: string; readonly generation?: number};
    readonly awaited: readonly {
      readonly process: string;
      readonly reason: string;
    }[];
  };
}

export async function readPlanStatus(
  entryUrl: string,
  planId: string,
): Promise<PlanStatus> {
  const reply = await requestAsOperator<PlanStatus>(
    'GET',
    entryUrl,
    `/v1/plans/${planId}`,
  );
  if (reply.status !== 200) throw new Error(JSON.stringify(reply.body));
  return reply.body;
}

export function waitUntil(
  what: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  return waitFor(condition, what, 90_000);
}

/** Starts or ends an outage of the table, the weights and the objects. */
export async function setOutage(site: SmallSite, outage: boolean) {
  await exchangeJson('POST', `${site.platformUrl}/faults`, {
    table: {outage},
    weights: {outage},
    objects: {outage},
  });
}

/** The state that the older system reports. */
export interface OlderSystemState {
  readonly generation: number;
  readonly targets: readonly string[];
  readonly workspaces: readonly string[];
  readonly busyTargets: readonly string[];
  readonly busyWorkspaces: readonly string[];
  readonly originBytes: number;
  readonly orders: {readonly accepted: number};
}

export function readOlderSystemState(
  site: SmallSite,
): Promise<OlderSystemState> {
  return exchangeJson('GET', `${site.olderSystemUrl}/state`);
}

/** Whether the process has a call of the plain service in progress. */
export async function isServiceBusy(
  site: SmallSite,
  process: string,
): Promise<boolean> {
  const [service] = site.plainServices;
  const state =
    process === 'older-system'
      ? await readOlderSystemState(site)
      : await requestActivity(service?.spec.siteAddress ?? '');
  return state.busyTargets.includes(service?.name ?? '');
}

/**
 * Final outcome of one reference; its caller retries at the other side only
 * after "not run".
 */
export type CallOutcome = 'oldAnswered' | 'newAnswered' | 'unknown' | 'notRun';

/** Callers that send at-most-once calls to both sides. */
export interface Callers {
  readonly outcomes: ReadonlyMap<string, CallOutcome>;
  readonly count: (kind: CallOutcome) => number;
  /** Resolves once every call in progress has its final answer. */
  readonly stop: () => Promise<void>;
}

/** Number of "not run" answers after which a caller gives up a reference. */
const MAX_TRIES = 12;

const PAUSE_MS = 25;

/** Starts callers; each tries the other side only after "not run". */
export function startCallers(site: SmallSite, callers: number): Callers {
  const outcomes = new Map<string, CallOutcome>();
  let running = true;

  const callOlderSystem = async (workspace: string, reference: string) => {
    const path = `${site.olderSystemUrl}/calls/${DEMO_OPERATION}`;
    const body = {workspace, body: {reference}};
    const reply = await exchangeJson<{outcome: CallAnswer['outcome']}>(
      'POST',
      path,
      body,
    );
    return reply.outcome;
  };

  const callOurSystem = async (
    workspace: DemoWorkspace,
    reference: string,
    entryUrl: string,
  ) => {
    const path = {service: DEMO_SERVICE, operation: DEMO_OPERATION};
    const body = {reference};
    const key = reference;
    // A killed entry sends no reply, but the call may have run.
    const called = await callService(
      entryUrl,
      workspace,
      path,
      body,
      key,
    ).catch(() => undefined);
    return called?.outcome ?? 'outcomeUnknown';
  };

  const callUntilSettled = async (
    workspace: DemoWorkspace,
    reference: string,
    entryUrl: string,
  ): Promise<CallOutcome> => {
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const ours = await callOurSystem(workspace, reference, entryUrl);
      if (ours === 'answered') return 'newAnswered';
      if (ours !== 'notRun') return 'unknown';
      const older = await callOlderSystem(workspace, reference);
      if (older === 'answered') return 'oldAnswered';
      if (older !== 'notRun') return 'unknown';
      await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    }
    return 'notRun';
  };

  const call = async (caller: number): Promise<void> => {
    const workspace = MOVED_WORKSPACES[caller % MOVED_WORKSPACES.length];
    if (workspace === undefined) return;
    for (let number = 0; running; number += 1) {
      const reference = `repair-${caller}-${number}`;
      const entry = site.entries[number % site.entries.length];
      const outcome = await callUntilSettled(
        workspace,
        reference,
        entry?.url ?? '',
      );
      outcomes.set(reference, outcome);
      await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    }
  };

  const all = Promise.all(
    Array.from({length: callers}, (_, caller) => call(caller)),
  );
  all.catch(() => undefined);
  return {
    outcomes,
    count: kind =>
      [...outcomes.values()].filter(outcome => outcome === kind).length,
    stop: async () => {
      running = false;
      await all;
    },
  };
}

/** Order givers of a target in order, without consecutive duplicates. */
export async function readOrderGivers(
  engineUrl: string,
): Promise<readonly string[]> {
  const {orders} = await exchangeJson<{orders: readonly {giver: string}[]}>(
    'GET',
    `${engineUrl}/orders`,
  );
  const givers = orders.map(order => order.giver);
  return givers.filter((giver, index) => giver !== givers[index - 1]);
}

/** A site where the older system owns every target and two workspaces. */
export async function startMovingSite(): Promise<SmallSite> {
  const site = await startSmallSite({
    entries: 2,
    engines: 3,
    plainServices: 1,
    binary: false,
    // The engine itself must not reject either of the two order givers.
    fencing: 'ignored',
    olderSystem: {
      model: DEMO_MODEL,
      label: OLDER_LABEL,
      workspaces: MOVED_WORKSPACES,
      period: 50,
    },
  });
  return site;
}
