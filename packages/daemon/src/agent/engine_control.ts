import {
  createTargetReconciler,
  wantedState,
  type AcceptedConfiguration,
  type InstanceName,
  type ModelName,
  type ReconcilePlan,
  type ReportedVersion,
  type TargetName,
  type VersionDigest,
} from '@hibiscusbeam/core';
import type {TableService} from '@hibiscusbeam/platform';
import type {Log} from '../logs';
import type {Metrics} from '../metrics';
import {sleep, type Clock} from '../runtime/clock';
import {drive} from '../runtime/drive';
import type {SwarmDriver} from '../swarm';
import type {EngineClient} from '../targets/types';
import type {AgentTargetSettings} from '../types/settings';
import type {AgentIncarnation} from './incarnation';
import {createOrderDriver, observeEngine} from './order_driver';
import {createPermits} from './permits';
import {holdTargetLease} from './target_lease';
import type {WeightsManager} from './weights_manager';

/** Pause between passes while the engine differs from the wanted state. */
const BUSY_PASS_PERIOD_MS = 200;

/** Longer, as the passes are the main cost of an idle agent. */
const IDLE_PASS_PERIOD_MS = 500;

/** The engine's load as last reported, for heartbeats. */
export interface EngineView {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly takenAt: number;
}

/** Brings one model engine to the state that the configuration wants. */
export interface EngineControl {
  /** Versions that new requests may be routed to. */
  readonly routable: () => readonly ReportedVersion[];
  readonly mayStart: (versionDigest: VersionDigest) => boolean;
  readonly view: () => EngineView | undefined;
  /** Whether an order to the engine may be in flight. */
  readonly isOrdering: () => boolean;
  readonly recordRun: (versionDigest: VersionDigest, change: 1 | -1) => void;
  readonly stop: () => Promise<void>;
  readonly dump: () => unknown;
}

/** Options of {@link startEngineControl}. */
export interface EngineControlOptions {
  readonly instance: InstanceName;
  readonly target: AgentTargetSettings;
  readonly agentIncarnation: AgentIncarnation;
  readonly engine: EngineClient;
  readonly table: TableService;
  readonly clock: Clock;
  readonly weights: WeightsManager;
  readonly swarm: SwarmDriver;
  readonly accepted: () => AcceptedConfiguration;
  /** Targets known to be dead or leaving. */
  readonly unavailableTargets: () => ReadonlySet<TargetName>;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called when the routable versions have changed. */
  readonly onRoutableChanged: () => void;
}

/** Starts reconcile passes, which run until `stop` is called. */
export function startEngineControl(
  options: EngineControlOptions,
): EngineControl {
  const {target, agentIncarnation, engine, table, clock, accepted, log} =
    options;
  const {instance} = options;
  const lease =
    target.fencing === 'ignored'
      ? holdTargetLease({
          target: target.name,
          instance,
          agentIncarnation,
          table,
          clock,
          log,
        })
      : undefined;
  const reconciler = createTargetReconciler({
    fencing: agentIncarnation.incarnation,
    checkLease: lease?.check,
    engineMemory: undefined,
  });
  const performOrder = createOrderDriver(engine, clock);
  const running = new Map<VersionDigest, number>();
  const stopping = new AbortController();
  let plan: ReconcilePlan | undefined;
  let view: EngineView | undefined;
  let engineIncarnation: string | undefined;
  let ordering = false;

  const permits = createPermits({
    target: target.name,
    instance,
    agentIncarnation,
    table,
    clock,
    log,
    accepted,
    onStep: step => options.metrics.count('activation.swaps', {step}),
    evidence: model => ({
      loaded: plan?.routable.some(version => version.model === model) ?? false,
      fenced: reconciler.isFenced(clock()),
    }),
  });

  const pass = async (): Promise<void> => {
    const observed = await observeEngine(engine, clock);
    const {generation, configuration} = accepted();
    const before = routableKey(plan);
    const next = reconciler.plan({
      wanted: wantedState(configuration, target.name),
      observed,
      verified: options.weights.verified(),
      requestsRunning: running,
      permits: permits.held(),
    });
    plan = next;
    if (observed !== undefined) updateView(observed);
    if (routableKey(next) !== before) options.onRoutableChanged();
    handlePermits(next, configuration.models);
    if (next.orders.length === 0) return;
    const stillInForce = () => accepted().generation === generation;
    const flow = reconciler.giveOrders(next, stillInForce);
    ordering = true;
    const round = await drive(flow, performOrder).finally(() => {
      ordering = false;
    });
    const outcome = round.kind;
    options.metrics.count('target.orders', {outcome}, next.orders.length);
    if (round.kind !== 'given') {
      return log.warn(`stopped sending orders: ${round.kind}`);
    }
    for (const order of next.orders) {
      log.info(`ordered ${order.kind} of ${order.versionDigest}`);
    }
    for (const detail of round.failed) {
      log.warn('an order failed', {detail});
    }
    // The engine lacks chunks that the swarm believed it held.
    if (round.refused.length > 0) void options.swarm.refreshHeld();
  };

  const updateView = (
    observed: NonNullable<Awaited<ReturnType<typeof observeEngine>>>,
  ): void => {
    const {report, load, takenAt} = observed;
    view = {...load, takenAt};
    options.swarm.onLiveLoad(load);
    // A restarted engine has lost its chunks; without a refresh the swarm would
    // keep offering them.
    if (engineIncarnation !== undefined && engineIncarnation !== report.life) {
      log.warn('the engine has restarted');
      void options.swarm.refreshHeld();
    }
    engineIncarnation = report.life;
  };

  const handlePermits = (
    next: ReconcilePlan,
    models: AcceptedConfiguration['configuration']['models'],
  ): void => {
    for (const model of next.needsPermit) {
      permits.take(model, options.unavailableTargets());
    }
    for (const {model, versionDigest} of next.routable) {
      const isWanted = models[model]?.versionDigest === versionDigest;
      if (isWanted && !permits.isServing(model)) permits.reportServing(model);
    }
  };

  const passPeriod = (): number => {
    const wanted = wantedState(accepted().configuration, target.name);
    if (wanted.kind !== 'serve') return IDLE_PASS_PERIOD_MS;
    const served = new Set(plan?.routable.map(line => line.versionDigest));
    const isComplete = [...wanted.versions.values()].every(version =>
      served.has(version),
    );
    const isSettled =
      isComplete &&
      plan?.orders.length === 0 &&
      plan.needsPermit.length === 0 &&
      plan.draining.length === 0;
    return isSettled ? IDLE_PASS_PERIOD_MS : BUSY_PASS_PERIOD_MS;
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await pass();
      await sleep(passPeriod(), stopping.signal);
    }
  };
  const passes = run();

  return {
    routable: () => plan?.routable ?? [],
    mayStart: reconciler.mayStart,
    view: () => view,
    isOrdering: () => ordering,
    recordRun: (versionDigest, change) => {
      const count = (running.get(versionDigest) ?? 0) + change;
      if (count > 0) running.set(versionDigest, count);
      else running.delete(versionDigest);
    },
    stop: async () => {
      stopping.abort();
      await passes;
      await lease?.stop();
    },
    dump: () => ({
      routable: plan?.routable,
      draining: plan?.draining,
      withoutRoom: plan?.withoutRoom,
      needsPermit: plan?.needsPermit,
      permits: [...permits.held()] satisfies ModelName[],
      running: Object.fromEntries(running),
      replaced: reconciler.isReplaced(),
      view,
    }),
  };
}

function routableKey(plan: ReconcilePlan | undefined): string {
  return (plan?.routable ?? []).map(version => version.versionDigest).join();
}
