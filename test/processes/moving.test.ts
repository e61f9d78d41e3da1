import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {callService} from '../../demo/requests';
import {
  DEMO_MODEL,
  DEMO_OPERATION,
  DEMO_SERVICE,
  publishVersion,
} from '../../demo/rollout';
import {exchangeJson} from '../../demo/site/http';
import type {SmallSite} from '../../demo/site/small_site';
import {
  planAndConfirm,
  confirmPlan,
  readOrderGivers,
  isServiceBusy,
  MOVED_WORKSPACES,
  OLDER_LABEL,
  readOlderSystemState,
  requestAsOperator,
  planIntent,
  setOutage,
  readPlanStatus,
  startCallers,
  startMovingSite,
  waitUntil,
  type Callers,
} from './moving_site';

const OUR_LABEL = '2026-12-02.1';

/** Two versions of 64 chunks of 16 KiB. */
const VERSION_BYTES = 64 * 16 * 1024;

// Operators move everything while a call is in progress on the old side, and
// the platform fails before the new side is open. A side that assumes too early
// that the other one has stopped would act at the same time: a warranty is
// charged twice, or a target alternates between two versions.
describe('a move under load in both directions, with outages during the move', () => {
  let site: SmallSite;
  let callers: Callers;
  let entryUrl = '';
  let otherUrl = '';
  let serviceUrl = '';
  let targets: readonly string[] = [];
  let staying = '';
  let runs: Readonly<Record<string, number>> = {};
  const duringOutage: string[] = [];

  const setUp = async (): Promise<void> => {
    await publishVersion(site, OLDER_LABEL, 1);
    await publishVersion(site, OUR_LABEL, 2);
    const join = {kind: 'join', targets, owner: 'older-system'};
    await waitUntil('a plan that knows every target', async () => {
      const intent = {summary: 'who is there', changes: [join]};
      const planned = await requestAsOperator(
        'POST',
        entryUrl,
        PLAN_PATH,
        intent,
      );
      return planned.status === 200;
    });
    await planAndConfirm(entryUrl, 'the site as the older system has it', [
      join,
      ...MOVED_WORKSPACES.map(workspace => ({
        kind: 'workspace',
        workspace,
        open: true,
        requestsPerSecond: 1_000,
        owner: 'older-system',
      })),
      {
        kind: 'service',
        service: DEMO_SERVICE,
        notRepeatable: [DEMO_OPERATION],
      },
    ]);
    callers = startCallers(site, 4);
  };

  const waitFor20MoreCalls = async (kind: 'oldAnswered' | 'newAnswered') => {
    const before = callers.count(kind);
    await waitUntil(`20 calls more: ${kind}`, () =>
      Promise.resolve(callers.count(kind) >= before + 20),
    );
  };

  const waitUntilGivers = async (givers: readonly string[]): Promise<void> => {
    await waitUntil(`orders by ${givers.join(', ')} last`, async () => {
      const lists = await Promise.all(
        site.engines.map(engine => readOrderGivers(engine.url)),
      );
      const movedBack = lists.filter(list => list.length >= givers.length);
      return movedBack.length >= (givers.length > 2 ? 2 : 3);
    });
  };

  const freezeService = (frozen: boolean) =>
    exchangeJson('POST', `${serviceUrl}/faults`, {frozen});

  const moveAll = async (
    owner: 'older-system' | 'hibiscusbeam',
    moved: readonly string[],
    holder: string,
    afterConfirm: () => Promise<void>,
  ): Promise<void> => {
    const planId = await planIntent(entryUrl, `move to ${owner}`, [
      {kind: 'own', owner, targets: moved, workspaces: MOVED_WORKSPACES},
    ]);
    await freezeService(true);
    await waitUntil('a call held on the old side', () =>
      isServiceBusy(site, holder),
    );
    await confirmPlan(entryUrl, planId);
    await afterConfirm();
    await waitUntil(`the move waits for ${holder}`, async () => {
      const {move} = await readPlanStatus(otherUrl, planId);
      const awaited = move?.awaited ?? [];
      return (
        awaited.some(({process}) => process === holder) &&
        awaited.every(({reason}) => reason === 'busy')
      );
    });
    await setOutage(site, true);
    await freezeService(false);
    await waitUntil('nothing in progress on the old side', async () => {
      return !(await isServiceBusy(site, holder));
    });
    await expectBothSidesClosed(owner, planId);
    await setOutage(site, false);
    await waitUntil(`all open for ${owner}, everywhere`, async () => {
      const {move, inForce} = await readPlanStatus(otherUrl, planId);
      return move?.state.kind === 'opened' && inForce === true;
    });
  };

  /** Kills the entry that confirmed the move; another one must continue it. */
  const replaceEntry = async (): Promise<void> => {
    const [entry] = site.entries;
    if (entry === undefined) return;
    entry.process.signal('SIGKILL');
    await entry.process.exited;
    await site.respawn(entry).ready;
  };

  /** With both sides idle, an outage of the platform must open neither. */
  const expectBothSidesClosed = async (
    owner: string,
    planId: string,
  ): Promise<void> => {
    for (const {name, url} of site.entries) {
      const reference = `outage-${owner}-${name}`;
      duringOutage.push(reference);
      const path = {service: DEMO_SERVICE, operation: DEMO_OPERATION};
      const body = {reference};
      const key = reference;
      const called = await callService(url, 'call-centre', path, body, key);
      expect(called).toMatchObject({outcome: 'notRun'});
      expect(called.text).toContain('workspaceClosed');
    }
    const shown = await requestAsOperator(
      'GET',
      otherUrl,
      `/v1/plans/${planId}`,
    );
    expect(shown).toMatchObject({
      status: 503,
      body: {error: 'platformUnavailable'},
    });
    const {targets: owned, workspaces} = await readOlderSystemState(site);
    expect([...owned, ...workspaces]).toEqual([]);
  };

  beforeAll(async () => {
    site = await startMovingSite();
    [entryUrl = '', otherUrl = ''] = site.entries.map(({url}) => url);
    const [service] = site.plainServices;
    serviceUrl = service?.url ?? '';
    const engines = site.engines.map(({name}) => name);
    staying = engines.at(-1) ?? '';
    targets = [...engines, ...site.plainServices.map(({name}) => name)];
    await setUp();
    await waitUntilGivers(['older-system']);
    await waitFor20MoreCalls('oldAnswered');

    await moveAll('hibiscusbeam', targets, 'older-system', () =>
      Promise.resolve(),
    );
    const serve = {
      kind: 'serve',
      model: DEMO_MODEL,
      version: OUR_LABEL,
      targets: {instances: engines},
      capacityFloor: 0,
      prefer: 'origin-bytes',
    };
    await planAndConfirm(entryUrl, 'serve our version', [serve]);
    await waitUntilGivers(['older-system', 'hibiscusbeam']);
    await waitFor20MoreCalls('newAnswered');

    // One engine stays, as a plan never moves the last one that serves a model.
    const back = targets.filter(name => name !== staying);
    await moveAll('older-system', back, service?.name ?? '', replaceEntry);
    await waitUntilGivers(['older-system', 'hibiscusbeam', 'older-system']);
    await waitFor20MoreCalls('oldAnswered');
    await callers.stop();
    const counted = await exchangeJson<{runs: Record<string, number>}>(
      'GET',
      `${serviceUrl}/runs`,
    );
    runs = counted.runs;
  }, SCENARIO_TIMEOUT_MS);

  afterAll(() => site.stop());

  test('no target gets orders from both sides at once', async () => {
    for (const {name, url} of site.engines) {
      const givers = await readOrderGivers(url);
      const back = name === staying ? [] : ['older-system'];
      expect(givers).toEqual(['older-system', name, ...back]);
    }
  });

  test('no call that may not be repeated runs twice, on whichever side', () => {
    const twice = Object.entries(runs).filter(([, count]) => count > 1);
    expect(twice).toEqual([]);
  });

  test('every call that was answered ran, on both sides', () => {
    const answered = [...callers.outcomes].filter(([, outcome]) =>
      ['oldAnswered', 'newAnswered'].includes(outcome),
    );
    expect(answered.length).toBeGreaterThanOrEqual(60);
    const lost = answered.filter(([reference]) => runs[reference] !== 1);
    expect(lost).toEqual([]);
  });

  test('no call ran whose every answer was "not run"', () => {
    const notRun = [...callers.outcomes]
      .filter(([, outcome]) => outcome === 'notRun')
      .map(([reference]) => reference);
    const ran = [...notRun, ...duringOutage].filter(name => name in runs);
    expect(duringOutage).toHaveLength(4);
    expect(ran).toEqual([]);
  });

  test('our side fetched little more than one copy of its version from the origin', async () => {
    const {weights} = await exchangeJson<{weights: {bytes: number}}>(
      'GET',
      `${site.platformUrl}/counters`,
    );
    const {originBytes} = await readOlderSystemState(site);
    const ours = weights.bytes - originBytes;
    expect(ours).toBeGreaterThanOrEqual(VERSION_BYTES);
    expect(ours).toBeLessThanOrEqual(1.5 * VERSION_BYTES);
  });
});

const PLAN_PATH = '/v1/intents/plan';

/** Timeout of the complete scenario on a busy machine. */
const SCENARIO_TIMEOUT_MS = 300_000;
