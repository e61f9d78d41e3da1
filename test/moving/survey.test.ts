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

/** Runs a survey by `entry-1`; instances without a reply are silent. */
function surveyOf(
  replies: Readonly<Record<string, ReportActivityReply>>,
  state?: OlderSystemState,
) {
  const node = {
    listed: () => [{instance: 'entry-2', address: 'at-entry-2'}],
    sessions: {peers: () => []},
    knownProcesses: {
      all: () => [],
      delistedFor: (instance: string) => (instance === 'gone' ? 31_000 : 0),
    },
    ownActivity: () => idle(),
    requestActivity: (address: string) =>
      Promise.resolve(replies[address.replace('at-', '')]),
  } as unknown as SiteNode;
  const olderSystem = {
    state: () => Promise.resolve(state),
    sendOwnership: () => Promise.resolve(),
    close: () => Promise.resolve(),
  };
  return createProcessSurvey({instance: 'entry-1', node, olderSystem})();
}

describe('a survey of both sides', () => {
  // An agent that started during an outage is on no list yet; only a process
  // that received its hello knows it. If it were not queried, it would keep
  // serving after the move.
  test('queries processes that only others know, and those that these know', async () => {
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

  // The older system records the generation but keeps using what it was told to
  // close. Two systems would give orders to one engine.
  test('treats everything that the older system reports as owned as in use', async () => {
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
