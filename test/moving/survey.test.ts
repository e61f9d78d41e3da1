import type {ReportActivityReply} from '@hibiscusbeam/wire';
import {describe, expect, test} from 'vitest';
import {createProcessSurvey} from '../../packages/daemon/src/entry/process_survey';
import type {OlderSystemState} from '../../packages/daemon/src/older_system';
import type {SiteNode} from '../../packages/daemon/src/site/site_node';

const idle = (heardOf: readonly string[] = []): ReportActivityReply => ({
  generation: 5,
  busyTargets: [],
  busyWorkspaces: [],
  heardOf: heardOf.map(instance => ({instance, address: `at-${instance}`})),
});

/** A site in which `entry-1` surveys; those without a reply are silent. */
function surveyOf(
  replies: Readonly<Record<string, ReportActivityReply>>,
  state?: OlderSystemState,
) {
  const node = {
    listed: () => [{instance: 'entry-2', address: 'at-entry-2'}],
    sessions: {peers: () => []},
    acquaintances: {
      all: () => [],
      delistedFor: (instance: string) => (instance === 'gone' ? 31_000 : 0),
    },
    ownActivity: () => idle(),
    askActivity: (address: string) =>
      Promise.resolve(replies[address.replace('at-', '')]),
  } as unknown as SiteNode;
  const olderSystem = {
    state: () => Promise.resolve(state),
    tell: () => Promise.resolve(),
    close: () => Promise.resolve(),
  };
  return createProcessSurvey({instance: 'entry-1', node, olderSystem})();
}

describe('a survey of both sides', () => {
  // What a user sees: an agent that started during an outage goes on serving
  // after the move. It is on no list yet; only a process that a process knows
  // has heard its hello.
  test('asks whom only others have heard of, and whom these have heard of', async () => {
    const reports = await surveyOf({
      'entry-2': idle(['engine-1']),
      'engine-1': idle(['engine-2', 'gone']),
      'engine-2': idle(['entry-1']),
    });
    const seen = reports.map(({kind, process}) => `${process} ${kind}`);
    expect(seen.sort()).toEqual([
      'engine-1 reports',
      'engine-2 reports',
      'entry-1 reports',
      'entry-2 reports',
      'gone out',
      'older-system silent',
    ]);
  });

  // What a user sees: two systems order one engine. The older system notes the
  // generation but goes on with what it was told to close.
  test('takes what the older system says that it owns as in use', async () => {
    const reports = await surveyOf(
      {'entry-2': idle()},
      {
        generation: 5,
        targets: ['engine-1'],
        workspaces: ['call-centre'],
        busyTargets: ['engine-2'],
        busyWorkspaces: [],
      },
    );
    expect(reports.at(-1)).toMatchObject({
      process: 'older-system',
      generation: 5,
      busyTargets: ['engine-2', 'engine-1'],
      busyWorkspaces: ['call-centre'],
    });
  });
});
