import {
  chooseHeldTargets,
  createWorkspaceLimits,
  HEARTBEAT_PERIOD,
  mayOrder,
  rendezvousOrder,
  SUSPECT_AFTER,
  type AcceptedConfiguration,
  type Member,
} from '@hibiscusbeam/core';
import {createHttpPlatform} from '@hibiscusbeam/platform';
import type {TargetReport, WorkspaceUse} from '@hibiscusbeam/wire';
import {every, monotonicClock, sleep} from '../runtime/clock';
import type {Peer} from '../site/sessions';
import {createSiteNode, type SiteNode} from '../site/site_node';
import type {RunningProcess} from '../types/process';
import type {EntrySettings} from '../types/settings';
import {formatAddress} from '../utils/address';
import {createCallerService} from './caller_service';
import {createDispatcher} from './dispatcher';
import {createGroupCommitDriver} from './group_commit_driver';
import {createHttpFace, type EntryAddress} from './http_face';
import {createPlanService} from './plan_service';
import {createRequestRunner} from './request_runner';
import {createSiteView, loadReportOf} from './site_view';
import {createTargetDirectory} from './target_directory';

/** Other entries that one entry opens sessions to. */
const ENTRY_NEIGHBOURS = 8;

/** Addresses in one answer to "which entry shall I use". */
const MOST_ADDRESSES = 8;

/** How long a planned stop waits for requests in progress. */
const LONGEST_DRAIN = 120_000;

/**
 * How long others may name a stopping entry to callers: one that has not heard
 * its word by then has lost the session and names it no more.
 */
const STILL_NAMED_FOR = SUSPECT_AFTER;

/** Pause between looks at what still runs while stopping. */
const DRAIN_PERIOD = 50;

/** Our share of the origin's link and an instance's link, for estimates. */
const RATES = {originRate: 125_000_000, instanceRate: 1_250_000_000};

/** Starts an entry. */
export async function startEntry(
  settings: EntrySettings,
): Promise<RunningProcess> {
  const entry = createEntry(settings);
  await entry.start();
  let finish = (): void => undefined;
  const stopped = new Promise<void>(resolve => (finish = resolve));
  return {
    stopped,
    stop: async () => {
      await entry.stop();
      finish();
    },
  };
}

function createEntry(settings: EntrySettings) {
  const clock = monotonicClock;
  const {instance, zone, region} = settings;
  const {url, timeout} = settings.platform;
  const platform = createHttpPlatform({url, timeout});
  const directory = createTargetDirectory();
  const callerAddress = formatAddress(settings.callerAddress);
  // Higher at each start of the same instance, also while the platform is
  // down; it orders the hellos of one entry's lives, nothing else.
  const incarnation = Date.now();
  let leaving = false;
  let uses: readonly WorkspaceUse[] = [];
  let stopPublishing = (): void => undefined;

  const node: SiteNode = createSiteNode({
    settings,
    clock,
    platform,
    role: {
      role: 'entry',
      incarnation: () => incarnation,
      callerAddress,
      isLeaving: () => leaving,
      workspaceUses: () => uses,
      onWorkspaceUses: (peer, published) =>
        limits.receive(
          {
            entry: peer.instance,
            use: new Map(
              published.map(use => [use.workspace, use.requestsPerSecond]),
            ),
          },
          clock(),
        ),
      dump: () => ({
        callerAddress,
        requests: {running: runner.running(), waiting: dispatcher.waiting()},
        claims: {inFlight: groupCommit.pending()},
        routing: dispatcher.dump(),
      }),
      onAdopted: accepted => followConfiguration(accepted),
      onPeerOpened: peer => meet(peer),
      onPeerClosed: peer => lose(peer),
      onTargetReport: (peer, report) => hear(peer, report),
      onTick: () => followSite(),
    },
  });

  const view = createSiteView(() => node.membership);
  const limits = createWorkspaceLimits({
    entry: instance,
    heartbeat: HEARTBEAT_PERIOD,
  });
  const groupCommit = createGroupCommitDriver(platform.table, clock);
  const runner = createRequestRunner({
    clock,
    platform,
    groupCommit,
    clients: node.clients,
    directory,
    dispatcher: () => dispatcher,
  });
  const dispatcher = createDispatcher({
    clock,
    zone,
    directory,
    queueCapacity: settings.limits.waiting,
    onStalled: runner.giveUpStalled,
  });
  const callers = createCallerService({
    instance,
    clock,
    configuration: node.configuration.current,
    runner,
    dispatcher,
    limits,
    mostInProgress: settings.limits.waiting * IN_PROGRESS_PER_WAITING,
  });
  const plans = createPlanService({
    platform,
    clock,
    current: node.configuration.current,
    knownTargets: view.knownTargets,
    rates: RATES,
    askGenerations: node.askGenerations,
    onCommitted: node.configuration.offerCommitted,
  });
  const face = createHttpFace({
    settings,
    callers,
    plans,
    entries: () => entryAddresses(),
    status: () => {
      const accepted = node.configuration.current();
      if (accepted === undefined) return {generation: 0, versions: []};
      const versions = view.versions(accepted, clock());
      return {generation: accepted.generation, versions};
    },
    log: node.log('callers'),
    onRefused: () => undefined,
  });

  const followConfiguration = ({
    configuration,
  }: AcceptedConfiguration): void => {
    for (const [name, described] of Object.entries(configuration.workspaces)) {
      limits.setLimit(name, described.requestsPerSecond);
    }
  };

  const meet = (peer: Peer): void => {
    view.meet(peer);
    if (peer.target === undefined) return;
    const {address, incarnation: life} = peer;
    directory.put({
      target: peer.target.name,
      instance: peer.instance,
      address,
      incarnation: life,
    });
  };

  const lose = (peer: Peer): void => {
    view.forget(peer.instance);
    if (peer.target === undefined) return;
    dispatcher.record({
      kind: 'targetGone',
      target: peer.target.name,
      now: clock(),
    });
  };

  const hear = (peer: Peer, report: TargetReport): void => {
    view.hear(peer, report);
    const liveness = node.membership.livenessOf(peer.instance);
    const load = loadReportOf(peer, report, liveness === 'leaving');
    if (load === undefined) return;
    const accepted = node.configuration.current();
    const isOurs =
      accepted !== undefined && mayOrder(load.target, accepted.configuration);
    if (liveness !== 'live' || !isOurs) {
      const {target} = load;
      dispatcher.record({kind: 'targetGone', target, now: clock()});
      return;
    }
    dispatcher.record({kind: 'reportReceived', report: load, now: clock()});
  };

  /** Takes targets out of routing that the membership no longer sees live. */
  const followSite = (): void => {
    for (const member of node.membership.members()) {
      if (member.role !== 'agent' || member.liveness === 'live') continue;
      const agent = directory.ofInstance(member.instance);
      if (agent === undefined) continue;
      const {target} = agent;
      dispatcher.record({kind: 'targetGone', target, now: clock()});
    }
    node.sessions.keep(new Set(wantedSessions()));
  };

  const wantedSessions = (): readonly string[] => {
    const members = node.membership
      .members()
      .filter(member => member.instance !== instance);
    const present = members.filter(isPresent);
    const listedLive = new Set(
      node
        .listed()
        .filter(line => line.state === 'live')
        .map(line => line.instance),
    );
    // An agent opens no session to an entry. One that is started again in its
    // slot, or stays after all, would never be met: it shows as a target that
    // gets no work while it is ready. So long as it is listed it is asked.
    const gone = members.filter(
      member => !isPresent(member) && listedLive.has(member.instance),
    );
    const chosen = chooseSessions(present);
    const returning = chooseSessions([...present, ...gone]);
    return [
      ...present.filter(member => chosen.has(member.instance)),
      ...gone.filter(member => returning.has(member.instance)),
    ].map(member => member.address);
  };

  const chooseSessions = (members: readonly Member[]): ReadonlySet<string> => {
    const entries = members.filter(member => member.role === 'entry');
    const agents = members.filter(member => member.role === 'agent');
    const neighbours = rendezvousOrder(
      instance,
      entries.map(entry => entry.instance),
    ).slice(0, ENTRY_NEIGHBOURS);
    const held = chooseHeldTargets({
      entry: instance,
      entries: [instance, ...entries.map(entry => entry.instance)],
      targets: agents.map(agent => agent.instance),
    });
    return new Set([...neighbours, ...held]);
  };

  const entryAddresses = (): readonly EntryAddress[] => {
    const others = node.sessions
      .peers()
      .filter(peer => peer.role === 'entry')
      .filter(peer => node.membership.livenessOf(peer.instance) === 'live')
      .map(peer => ({
        address: peer.callerAddress,
        zone: peer.zone,
        region: peer.region,
      }));
    const own = leaving ? [] : [{address: callerAddress, zone, region}];
    const byAddress = new Map(
      [...own, ...others].map(entry => [entry.address, entry]),
    );
    return [...byAddress.values()].slice(0, MOST_ADDRESSES);
  };

  const start = async (): Promise<void> => {
    await node.start();
    await face.listen(settings.callerAddress);
    stopPublishing = every(HEARTBEAT_PERIOD, () => {
      uses = [...limits.publish(clock()).use].map(
        ([workspace, requestsPerSecond]) => ({workspace, requestsPerSecond}),
      );
    });
    followSite();
    node.log('process').info(`serves callers at ${callerAddress}`);
  };

  const stop = async (): Promise<void> => {
    leaving = true;
    node.log('process').info('leaves the list of addresses');
    node.sessions.beat();
    // Callers may keep the old answer so long; until then this entry serves
    // whoever comes, or they would meet a refused connection. Another entry
    // that hears of the stop late gives the address out for a while longer.
    await sleep(settings.addressesKeptFor + STILL_NAMED_FOR);
    const deadline = clock() + LONGEST_DRAIN;
    while (runner.running() > 0 && clock() < deadline) {
      await sleep(DRAIN_PERIOD);
    }
    await face.close();
    stopPublishing();
    dispatcher.close();
    await node.stop('planned stop');
  };

  return {start, stop};
}

/** Requests in progress for each one that may wait for a target. */
const IN_PROGRESS_PER_WAITING = 8;

function isPresent(member: Member): boolean {
  return member.liveness !== 'dead' && member.liveness !== 'leaving';
}
