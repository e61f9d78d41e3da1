import type {InstanceName, ProcessReport} from '@hibiscusbeam/core';
import type {ReportActivityReply} from '@hibiscusbeam/wire';
import type {OlderSystemClient} from '../older_system';
import type {ProcessAddress} from '../site/known_processes';
import type {SiteNode} from '../site/site_node';

/** Maximum number of rounds; each queries processes named in the last one. */
const MAX_ROUNDS = 4;

/** Processes queried at the same time; a site has several hundred. */
const MAX_CONCURRENT_QUERIES = 64;

/** Name of the older system in reports. */
const OLDER_SYSTEM = 'older-system';

/** Queries every process of both sides for what it may still act on. */
export type ProcessSurvey = () => Promise<readonly ProcessReport[]>;

/** Options of {@link createProcessSurvey}. */
export interface ProcessSurveyOptions {
  readonly instance: InstanceName;
  readonly node: SiteNode;
  readonly olderSystem: OlderSystemClient | undefined;
}

/**
 * Creates a survey of the listed processes, those known to this entry, and
 * those that they know.
 */
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

  /**
   * Reports a process that didn't reply. It counts as out if the platform's
   * list has lacked it for long enough.
   */
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
      // Everything it owns counts as in use: it may report the generation while
      // it still serves what that generation closes.
      busyTargets: [...state.busyTargets, ...state.targets],
      busyWorkspaces: [...state.busyWorkspaces, ...state.workspaces],
      heardOf: [],
    },
  ];
}
