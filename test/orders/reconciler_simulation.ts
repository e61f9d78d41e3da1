import {
  wantedState,
  type Manifest,
  type ModelName,
  type OrderEffect,
  type SiteConfiguration,
  type VersionDigest,
  type WantedState,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {
  createFakeEngine,
  manifestOf,
  VERSION_SIZE,
  type FakeEngine,
} from './fake_engine';
import {
  createSteppedAgent,
  type OrderFate,
  type SteppedAgent,
} from './stepped_agent';

/** Fates of orders and replies that are all delivered. */
export const NO_FAULTS: readonly OrderFate[] = new Array<OrderFate>(12).fill(
  'none',
);

/** The versions that may be wanted. */
export const VERSIONS: ReadonlyMap<VersionDigest, Manifest> = new Map([
  ['notes-1', manifestOf('notes', '1')],
  ['notes-2', manifestOf('notes', '2')],
  ['notes-3', manifestOf('notes', '3')],
  ['quotes-1', manifestOf('quotes', '1')],
]);

/** One step of a run. */
export type Step =
  | {readonly kind: 'want'; readonly notes: string; readonly quotes: boolean}
  | {readonly kind: 'verify'; readonly version: string}
  /** Reads a report, plans, and gives some of the orders. */
  | {
      readonly kind: 'round';
      readonly lag: number;
      readonly fates: readonly OrderFate[];
    }
  | {
      readonly kind:
        'permit' | 'finishLoads' | 'finish' | 'restart' | 'older' | 'request';
    };

/** How many snapshots old a report is. */
export const lag = fc.oneof(
  fc.constant(0),
  fc.nat({max: 4}),
  fc.nat({max: 20}),
);
const fate: fc.Arbitrary<OrderFate> = fc.oneof(
  {weight: 8, arbitrary: fc.constant<OrderFate>('none')},
  {weight: 1, arbitrary: fc.constant<OrderFate>('lost')},
  {weight: 1, arbitrary: fc.constant<OrderFate>('dropped')},
);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant<'want'>('want'),
      notes: fc.constantFrom('notes-1', 'notes-2', 'notes-2', 'notes-3', ''),
      quotes: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant<'verify'>('verify'),
      version: fc.constantFrom(...VERSIONS.keys()),
    }),
  },
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant<'round'>('round'),
      lag,
      fates: fc.array(fate, {maxLength: 6}),
    }),
  },
  {
    weight: 14,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'permit' as const,
        'permit' as const,
        'finishLoads' as const,
        'finishLoads' as const,
        'finish' as const,
        'request' as const,
      ),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom('restart' as const, 'older' as const),
    }),
  },
);

function configurationOf(
  notes: VersionDigest,
  quotes: boolean,
  owner: 'older-system' | 'hibiscusbeam',
): SiteConfiguration {
  const model = (versionDigest: VersionDigest, here: boolean) => ({
    versionDigest,
    label: versionDigest,
    targets: here ? ['engine-1', 'engine-2'] : ['engine-2'],
    capacityFloor: 1,
    prefer: 'time' as const,
  });
  return {
    targets: {
      'engine-1': {
        kind: 'modelEngine',
        zone: 'hobart',
        owner,
        fencing: 'checked',
        state: 'joined',
      },
    },
    models: {
      notes: model(notes || 'notes-1', notes !== ''),
      quotes: model('quotes-1', quotes),
    },
    services: {},
    workspaces: {},
    olderSystemSwitchedOff: false,
  };
}

interface SimulationRun {
  readonly engine: FakeEngine;
  readonly agent: SteppedAgent;
  readonly verified: Map<VersionDigest, Manifest>;
  needsPermit: readonly ModelName[];
  olderOwns: boolean;
  /** The effect seen last, to recognize a new one. */
  effect: OrderEffect | undefined;
  now: number;
}

/** Starts an engine and its agent; the engine's memory bounds what it holds. */
export function startSimulation(
  engineMemory: number | undefined,
): SimulationRun {
  const verified = new Map<VersionDigest, Manifest>();
  const engine: FakeEngine = createFakeEngine({
    fencing: 'checked',
    holds: versionDigest => verified.has(versionDigest),
    onEmptied: model => {
      if (agent.permits.has(model)) return;
      throw new Error(`${model} was taken away without a permit`);
    },
    onViolation: violation => {
      throw new Error(violation);
    },
  });
  const agent = createSteppedAgent(engine, verified, {
    fencing: 7,
    checkLease: undefined,
    engineMemory,
  });
  engine.snapshot(0);
  const run: SimulationRun = {
    engine,
    agent,
    verified,
    needsPermit: [],
    olderOwns: false,
    effect: undefined,
    now: 0,
  };
  // The engine serves the first version, which was loaded without faults.
  for (const [version, manifest] of VERSIONS) {
    if (version !== 'notes-3') verified.set(version, manifest);
  }
  applyStep(run, {kind: 'want', notes: 'notes-1', quotes: true});
  for (let round = 0; round < 2; round += 1) {
    applyStep(run, {kind: 'round', lag: 0, fates: NO_FAULTS});
    applyStep(run, {kind: 'finishLoads'});
  }
  return run;
}

/** Fails if an order is sent to a target of the older system. */
function checkEffect(run: SimulationRun): void {
  const effect = run.agent.nextEffect();
  const isNew = effect !== run.effect;
  run.effect = effect;
  if (isNew && effect?.kind === 'sendOrder' && run.olderOwns) {
    throw new Error('order to a target of the older system');
  }
}

/** Applies one step. */
export function applyStep(run: SimulationRun, next: Step): void {
  const {engine, agent, verified} = run;
  run.now += 1;
  switch (next.kind) {
    case 'want': {
      run.olderOwns = false;
      const site = configurationOf(next.notes, next.quotes, 'hibiscusbeam');
      agent.wanted = wantedState(site, 'engine-1');
      break;
    }
    case 'older': {
      run.olderOwns = true;
      const site = configurationOf('notes-1', true, 'older-system');
      agent.wanted = wantedState(site, 'engine-1');
      break;
    }
    case 'verify': {
      const manifest = VERSIONS.get(next.version);
      if (manifest !== undefined) verified.set(next.version, manifest);
      break;
    }
    case 'round':
      agent.observe(next.lag);
      run.needsPermit = agent.pass().needsPermit;
      for (const each of next.fates) {
        run.now += 1;
        agent.advance(run.now, each, next.lag);
        checkEffect(run);
        engine.snapshot(run.now);
      }
      break;
    case 'permit':
      for (const model of run.needsPermit) agent.permits.add(model);
      run.needsPermit = [];
      break;
    case 'finishLoads':
      engine.finishLoads();
      break;
    case 'restart':
      engine.restart();
      break;
    case 'request':
      for (const versionDigest of VERSIONS.keys()) {
        if (!agent.reconciler.mayStart(versionDigest)) continue;
        engine.begin(versionDigest);
      }
      break;
    case 'finish':
      engine.finish();
      break;
  }
  engine.snapshot(run.now);
}

/** Lets all orders take effect, without faults. */
export function settle(run: SimulationRun): void {
  for (const version of VERSIONS.keys()) {
    applyStep(run, {kind: 'verify', version});
  }
  for (let round = 0; round < 12; round += 1) {
    for (let count = 0; count < 6; count += 1) applyStep(run, {kind: 'finish'});
    applyStep(run, {kind: 'round', lag: 0, fates: NO_FAULTS});
    applyStep(run, {kind: 'permit'});
    applyStep(run, {kind: 'finishLoads'});
  }
}

/** Memory sizes of the engines to run with. */
export const engineMemories = fc.constantFrom(
  undefined,
  2 * VERSION_SIZE,
  4 * VERSION_SIZE,
);
/** Sequences of steps. */
export const steps = fc.array(step, {minLength: 5, maxLength: 50});

/** Digests that a wanted state names. */
export function versionsWanted(wanted: WantedState): readonly VersionDigest[] {
  return wanted.kind === 'serve' ? [...wanted.versions.values()] : [];
}
