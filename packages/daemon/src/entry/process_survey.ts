import type {InstanceName, ProcessReport} from '@hibiscusbeam/core';
import type {ReportActivityReply} from '@hibiscusbeam/wire';
import type {OlderSystemClient} from '../older_system';
import type {ProcessAddress} from '../site/known_processes';
import type {SiteNode} from '../site/site_node';

/** Rounds of asking those that were named by the ones asked before. */
const MAX_ROUNDS = 4;

/** Processes asked at once; a site has several hundred. */
const MAX_CONCURRENT_QUERIES = 64;

/** Name of the older system in reports. */
const OLDER_SYSTEM = 'older-system';

/** Asks every process of both sides what it may still act on. */
export type ProcessSurvey = () => Promise<readonly ProcessReport[]>;

/** Options of {@link createProcessSurvey}. */
export interface ProcessSurveyOptions {
  readonly instance: InstanceName;
  readonly node: SiteNode;
  readonly olderSystem: OlderSystemClient | undefined;
}

/** Surveys listed processes, those met, and those that these have heard of. */
export function createProcessSurvey(
  options: ProcessSurveyOptions,
): ProcessSurvey {
  const {instance, node, olderSystem} = options;

  const initialProcesses = (): readonly ProcessAddress[] => [
    ...node.listed(),
    ...node.sessions.peers(),
    ...node.knownProcesses.all(),
  ];

  const queryOwnSystem = async (): Promise<readonly ProcessReport[]> => {
    const own = node.ownActivity();
    const reports = new Map<InstanceName, ProcessReport>();
    reports.set(instance, reportOf(instance, own));
    let named: readonly ProcessAddress[] = [
      ...initialProcesses(),
      ...own.heardOf,
    ];
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      const unqueried = new Map<InstanceName, string>();
      for (const {instance: name, address} of named) {
        if (!reports.has(name)) unqueried.set(name, address);
      }
      if (unqueried.size === 0) break;
      const replies = await queryAll([...unqueried]);
      named = [];
      for (const [name, reply] of replies) {
        reports.set(
          name,
          reply === undefined ? reportOfSilent(name) : reportOf(name, reply),
        );
        named = [...named, ...(reply?.heardOf ?? [])];
      }
    }
    return [...reports.values()];
  };

  const queryAll = async (
    processes: readonly (readonly [InstanceName, string])[],
  ) => {
    const replies: [InstanceName, ReportActivityReply | undefined][] = [];
    for (
      let from = 0;
      from < processes.length;
      from += MAX_CONCURRENT_QUERIES
    ) {
      const batch = processes.slice(from, from + MAX_CONCURRENT_QUERIES);
      const answers = await Promise.all(
        batch.map(async ([name, address]) => {
          const reply = await node.requestActivity(address);
          return [name, reply] satisfies [InstanceName, typeof reply];
        }),
      );
      replies.push(...answers);
    }
    return replies;
  };

  /** A process that is silent, with what the platform's list says of it. */
  const reportOfSilent = (process: InstanceName): ProcessReport => {
    const side = 'hibiscusbeam';
    const since = node.knownProcesses.delistedFor(process);
    if (since === 0) return {kind: 'silent', process, side};
    return {kind: 'out', process, side, evidence: {kind: 'delisted', since}};
  };

  return async () => {
    const [ours, olderSystems] = await Promise.all([
      queryOwnSystem(),
      queryOlderSystem(olderSystem),
    ]);
    return [...ours, ...olderSystems];
  };
}

function reportOf(
  process: InstanceName,
  reply: ReportActivityReply,
): ProcessReport {
  const {generation, busyTargets, busyWorkspaces, heardOf} = reply;
  return {
    kind: 'reports',
    process,
    side: 'hibiscusbeam',
    generation,
    busyTargets,
    busyWorkspaces,
    heardOf: heardOf.map(known => known.instance),
  };
}

async function queryOlderSystem(
  olderSystem: OlderSystemClient | undefined,
): Promise<readonly ProcessReport[]> {
  if (olderSystem === undefined) return [];
  const side = 'older-system';
  const state = await olderSystem.state();
  if (state === undefined) {
    return [{kind: 'silent', process: OLDER_SYSTEM, side}];
  }
  return [
    {
      kind: 'reports',
      process: OLDER_SYSTEM,
      side,
      generation: state.generation,
      // Failure: it names the generation, but still serves what it was told to
      // close. What it says that it owns counts as in use.
      busyTargets: [...state.busyTargets, ...state.targets],
      busyWorkspaces: [...state.busyWorkspaces, ...state.workspaces],
      heardOf: [],
    },
  ];
}
