import {afterAll, beforeAll, beforeEach, describe, expect, test} from 'vitest';
import {exchangeJson} from '../../demo/site/http';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import {startSmallSite, type SmallSite} from '../../demo/site/small_site';
import {
  planAndConfirm,
  confirmPlan,
  requestAsOperator,
  planIntent,
  setOutage,
  readPlanStatus,
  waitUntil,
} from './moving_site';

interface Refusal {
  readonly error: string;
  readonly advice?: string;
  readonly relation?: string;
  readonly others?: readonly {
    readonly planId: string;
    readonly summary: string;
    readonly shared: readonly unknown[];
  }[];
}

interface Confirmed {
  readonly generation: number;
  readonly wasConfirmed: boolean;
}

describe('operators at two entries of one site', () => {
  let site: SmallSite;
  let first = '';
  let second = '';
  let weight = 1;

  beforeAll(async () => {
    site = await startSmallSite({
      entries: 2,
      engines: 1,
      plainServices: 0,
      binary: false,
    });
    [first = '', second = ''] = site.entries.map(entry => entry.url);
    const workspaces = Object.keys(DEMO_KEYS.workspaces);
    await planAndConfirm(
      first,
      'all workspaces',
      workspaces.map(workspace => ({kind: 'workspace', workspace, open: true})),
    );
  });

  afterAll(() => site.stop());

  /** Waits until both entries know the head, so plans have the same base. */
  beforeEach(() =>
    waitUntil('both entries at one generation', async () => {
      const known = await Promise.all([first, second].map(generationAt));
      return known[0] === known[1] && known[0] === (await headGeneration());
    }),
  );

  const generationAt = async (url: string): Promise<number> =>
    (await requestAsOperator<{generation: number}>('GET', url, '/v1/status'))
      .body.generation;

  const headGeneration = async (): Promise<number> => {
    const {row} = await exchangeJson<{
      row: {value: {generation: number}} | null;
    }>('POST', `${site.platformUrl}/table/read`, {key: 'configuration/head'});
    return row?.value.generation ?? 0;
  };

  const planWeight = (url: string, workspace: string): Promise<string> => {
    weight += 1;
    return planIntent(url, `${workspace} gets weight ${weight}`, [
      {kind: 'workspace', workspace, weight},
    ]);
  };

  const tryConfirm = (url: string, planId: string) =>
    requestAsOperator<Refusal & Confirmed>(
      'POST',
      url,
      `/v1/plans/${planId}/confirm`,
    );

  /** Confirms a plan at each entry concurrently; returns winner and loser. */
  const race = async (workspaces: readonly [string, string]) => {
    const plans = [
      await planWeight(first, workspaces[0]),
      await planWeight(second, workspaces[1]),
    ] as const;
    const before = await headGeneration();
    const replies = await Promise.all([
      tryConfirm(first, plans[0]),
      tryConfirm(second, plans[1]),
    ]);
    expect(replies.map(({status}) => status).sort()).toEqual([200, 409]);
    expect(await headGeneration()).toBe(before + 1);
    const winner = replies[0].status === 200 ? 0 : 1;
    const refusal = replies[1 - winner]?.body;
    return {won: plans[winner], lost: plans[1 - winner], refusal};
  };

  test('of two plans for the same thing one is accepted, and named to the other', async () => {
    const {won, lost, refusal} = await race(['call-centre', 'call-centre']);
    expect(refusal).toMatchObject({
      error: 'overtaken',
      planId: lost,
      relation: 'sameThings',
      others: [
        {planId: won, shared: [{kind: 'workspace', name: 'call-centre'}]},
      ],
    });
    expect((await readPlanStatus(first, lost ?? '')).state).toEqual({
      kind: 'planned',
    });
  });

  test('an overtaken unrelated plan is refused with the command to plan again', async () => {
    const {won, refusal} = await race(['shop-counter', 'mower-app']);
    expect(refusal).toMatchObject({
      error: 'overtaken',
      relation: 'unrelated',
      others: [{planId: won, shared: []}],
    });
    expect(refusal?.advice).toContain('hibiscusbeam intent plan');
  });

  test('confirming a plan repeatedly, or at two entries at once, makes one change', async () => {
    const planId = await planWeight(first, 'call-centre');
    const before = await headGeneration();
    const both = await Promise.all([
      confirmPlan(first, planId),
      confirmPlan(second, planId),
    ]);
    const again = await confirmPlan(first, planId);
    expect(again).toMatchObject({wasConfirmed: true, generation: before + 1});
    expect(both.map(({generation}) => generation)).toEqual([
      before + 1,
      before + 1,
    ]);
    expect(await headGeneration()).toBe(before + 1);
  });

  test.each([1, 3, 50])(
    'with %i replies of the platform lost a confirmed plan is one change',
    async loseReplies => {
      const planId = await planWeight(second, 'mower-app');
      const before = await headGeneration();
      const faults = `${site.platformUrl}/faults`;
      await exchangeJson('POST', faults, {table: {loseReplies}});
      const reply = await tryConfirm(second, planId);
      await exchangeJson('POST', faults, {table: {loseReplies: 0}});
      expect(reply).toMatchObject({
        status: 200,
        body: {generation: before + 1},
      });
      expect(await headGeneration()).toBe(before + 1);
    },
  );

  test('with the platform down the answer is clear, and nothing is half done', async () => {
    const planId = await planWeight(first, 'shop-counter');
    const before = await headGeneration();
    await setOutage(site, true);
    const replies = await Promise.all(
      [first, second].map(url => tryConfirm(url, planId)),
    );
    await setOutage(site, false);
    for (const reply of replies) {
      expect(reply).toMatchObject({
        status: 503,
        body: {error: 'platformUnavailable'},
      });
    }
    expect(await headGeneration()).toBe(before);
    expect((await readPlanStatus(first, planId)).state).toEqual({
      kind: 'planned',
    });
    const confirmed = await confirmPlan(second, planId);
    expect(confirmed).toEqual({
      planId,
      generation: before + 1,
      wasConfirmed: false,
    });
  });

  // The platform sends nothing, so only the timeout of the entry can end the
  // request.
  test('a hanging platform does not keep an operator from getting an answer', async () => {
    const planId = await planWeight(first, 'shop-counter');
    const before = await headGeneration();
    site.platform.signal('SIGSTOP');
    const reply = await tryConfirm(first, planId);
    site.platform.signal('SIGCONT');
    expect(reply).toMatchObject({
      status: 503,
      body: {error: 'platformUnavailable'},
    });
    expect(await headGeneration()).toBe(before);
    const confirmed = await confirmPlan(first, planId);
    expect(confirmed.generation).toBe(before + 1);
  });
});
