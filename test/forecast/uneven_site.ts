import {
  createTargetRegistry,
  forecastFirstEvent,
  hash32,
  type EngineProfile,
  type ListedTarget,
  type PlacementRequest,
  type InFlightRequest,
  type SendingEntry,
  type TargetRegistry,
} from '@hibiscusbeam/core';
import {
  engineLoad,
  engineRequest,
  engineTarget,
  HELD_VERSIONS,
} from '../fixtures/placement';

/** How engines differ. */
export type Engines = 'even' | 'slowPeriods' | 'sixthSlower' | 'halfZone';
/**
 * How targets are chosen; `byLoad` by load alone, `complete` with complete
 * knowledge of each engine.
 */
export type Chooser =
  'byLoad' | 'forecast' | 'twoChoices' | 'late' | 'complete';

export interface SiteOptions {
  readonly engines: Engines;
  readonly load: number;
  readonly entries: number;
  readonly reportAge: number;
  readonly chooser: Chooser;
  readonly seed: number;
  /** Whether reports name the engines' true pace. */
  readonly reportsPace?: boolean;
}

const ZONES = ['north', 'south', 'west'];
const OBJECTIVE = 402;
const DURATION = 6_000;
const PERIOD = 100;
const SLOTS = 12;
const PROMPT = 33;
const TOKENS = 105;
export const PROFILE: EngineProfile = {
  slots: SLOTS,
  stepTime: 6.73,
  stepTimePerRequest: 0.1,
  prefillRate: 30_600,
  timePerMillionPairs: 0,
  stride: 7,
  prefillChunk: 1_024,
  loadTime: 2_000,
  stepTimePerThousandTokens: 0,
  memoryTokens: undefined,
};
const CHUNK = (PROFILE.prefillChunk * 1_000) / PROFILE.prefillRate;
const STEP = PROFILE.stepTime + SLOTS * PROFILE.stepTimePerRequest;
const ENGINE_RATE = 1 / (PROMPT + (TOKENS * STEP) / SLOTS);

interface Run {
  readonly prompt: number;
  unread: number;
  written: number;
  readonly tokens: number;
  readonly onFirst: () => void;
  readonly onEnd: () => void;
}

interface Engine {
  readonly target: ListedTarget;
  readonly pace: (now: number) => number;
  queue: Run[];
  runs: Run[];
  step: number;
  isBusy: boolean;
  sequence: number;
}

/** Simulates a site; returns the share of late first events. */
export function simulateSite(options: SiteOptions): number {
  let count = 0;
  const next = () => hash32(`${options.seed}/${(count += 1)}`) / 2 ** 32;
  const exponential = () => -Math.log(1 - next());
  const buckets: (() => void)[][] = [];
  let now = 0;
  const at = (time: number, run: () => void) =>
    void (buckets[Math.ceil(time)] ??= []).push(run);
  const engines = ZONES.flatMap((zone, z) =>
    Array.from(
      {length: options.engines === 'halfZone' && z === 2 ? 3 : 6},
      (_, i) => createEngine(`${zone}-${i}`, zone, z * 6 + i),
    ),
  );
  const entries: SendingEntry[] = Array.from(
    {length: options.entries},
    (_, i) => ({
      instance: `entry-${i}`,
      zone: ZONES[i % 3]!,
    }),
  );
  const registries =
    options.chooser === 'complete' ? [] : entries.map(createRegistry);
  let sent = 0;
  let late = 0;

  function createEngine(name: string, zone: string, index: number): Engine {
    const pace = (time: number): number => {
      switch (options.engines) {
        case 'slowPeriods': {
          const period = Math.floor((time + index * 97) / 600);
          return hash32(`${name}/${period}`) / 2 ** 32 < 0.15 ? 2.5 : 1;
        }
        case 'sixthSlower':
          return index % 6 === 0 ? 1.5 + (index / 6) * 1.75 : 1;
        default:
          return 1;
      }
    };
    const target = engineTarget(name, {zone, slots: SLOTS});
    return {
      target,
      pace,
      queue: [],
      runs: [],
      step: 0,
      isBusy: false,
      sequence: index,
    };
  }

  function createRegistry(entry: SendingEntry): TargetRegistry {
    const registry = createTargetRegistry(entry, undefined, undefined, {
      placement: 'forecast',
    });
    registry.list(
      engines.map(({target}) => target),
      0,
    );
    registry.setEntries(entries);
    return registry;
  }

  /**
   * One token step: due prompts are read, then each writer generates a token.
   */
  function step(engine: Engine): void {
    if (engine.step % PROFILE.stride === 0) {
      engine.runs.push(...engine.queue.splice(0, SLOTS - engine.runs.length));
    }
    engine.step += 1;
    engine.isBusy = engine.runs.length > 0;
    if (!engine.isBusy) {
      engine.step = 0;
      return;
    }
    const writers = engine.runs.filter(run => run.unread <= 0);
    let read = 0;
    for (const run of engine.runs) {
      const part = Math.min(run.unread, CHUNK - read);
      run.unread -= part;
      read += part;
    }
    const {stepTime, stepTimePerRequest} = PROFILE;
    const writing =
      writers.length > 0 ? stepTime + writers.length * stepTimePerRequest : 0;
    if (writers.length === 0) engine.step = 0;
    const begunAt = now;
    at(begunAt + Math.max(1, (read + writing) * engine.pace(now)), () => {
      for (const run of writers) {
        run.written += 1;
        if (run.written === PROFILE.stride) run.onFirst();
        if (run.written < run.tokens) continue;
        run.onEnd();
        engine.runs.splice(engine.runs.indexOf(run), 1);
      }
      step(engine);
    });
  }

  function report(engine: Engine): void {
    engine.sequence += 1;
    const load = engineLoad(engine.target.instance, {
      held: HELD_VERSIONS,
      running: engine.runs.length,
      waiting: engine.queue.length,
      sequence: engine.sequence,
      pace: options.reportsPace === false ? 1 : engine.pace(now),
    });
    at(now + options.reportAge, () =>
      registries.forEach(registry => registry.report(load, now)),
    );
  }

  function enqueue(engine: Engine, run: Run): void {
    engine.queue.push(run);
    if (engine.isBusy) return;
    engine.isBusy = true;
    step(engine);
  }

  function arrive(): void {
    const arrivedAt = now;
    const entry = Math.floor(next() * entries.length);
    const prompt = exponential() * PROMPT;
    const tokens = Math.ceil(TOKENS * Math.min(2.5, 0.3 + 0.7 * exponential()));
    const place = (): void => {
      const placement = engineRequest({
        promptTime: prompt,
        expectedRun: tokens * STEP,
        expectedTokens: tokens,
        firstEventDeadline: arrivedAt + OBJECTIVE,
        profile: PROFILE,
        now,
      });
      const chosen = choose(placement, registries[entry], arrivedAt);
      if (chosen === undefined) return at(now + 5, place);
      const {engine, request, forecast} = chosen;
      const sentAt = now;
      enqueue(engine, {
        prompt,
        unread: prompt,
        written: 0,
        tokens,
        onFirst: () => {
          sent += 1;
          if (now - arrivedAt > OBJECTIVE) late += 1;
          request?.begun();
          if (options.chooser === 'byLoad') return;
          if (forecast === undefined) return;
          registries[entry]?.recordFirstEvent(
            engine.target,
            (now - sentAt) / forecast,
            now,
          );
        },
        onEnd: () => request?.end(),
      });
    };
    place();
  }

  function choose(
    placement: PlacementRequest,
    registry: TargetRegistry | undefined,
    arrivedAt: number,
  ) {
    if (registry === undefined) return chooseComplete(placement);
    const tried =
      options.chooser === 'twoChoices' ? allButTwo() : placement.tried;
    const profile =
      options.chooser === 'byLoad' ? undefined : placement.profile;
    const choice = registry.choose({...placement, profile, tried});
    if (choice.kind !== 'chosen') return undefined;
    const {target} = choice;
    const forecast = registry.forecast(target, placement);
    if (
      options.chooser === 'late' &&
      now - arrivedAt < 60 &&
      now + (forecast ?? 0) > arrivedAt + OBJECTIVE
    ) {
      return undefined;
    }
    const request: InFlightRequest = registry.begin(target, {
      promptTime: placement.promptTime,
      onIncarnationEnded: () => undefined,
    });
    const engine = engines.find(
      one => one.target.instance === target.instance,
    )!;
    return {engine, request, forecast};
  }

  function allButTwo(): ReadonlySet<string> {
    const all = new Set(engines.map(({target}) => target.instance));
    for (let drawn = 0; drawn < 2; drawn += 1) {
      all.delete(engines[Math.floor(next() * engines.length)]!.target.instance);
    }
    return all;
  }

  function chooseComplete(placement: PlacementRequest) {
    let best: Engine | undefined;
    let minCost = Infinity;
    for (const engine of engines) {
      const {runs, queue} = engine;
      if (runs.length + queue.length >= SLOTS) continue;
      const unreadPrompts = [...runs, ...queue].reduce(
        (sum, run) => sum + run.unread,
        0,
      );
      const work = {
        running: runs.length + queue.length,
        waiting: 0,
        unreadPrompts,
        loadsIn: undefined,
      };
      const cost = forecastFirstEvent(
        PROFILE,
        {...work, pace: engine.pace(now)},
        placement,
      );
      if (cost >= minCost) continue;
      best = engine;
      minCost = cost;
    }
    return best && {engine: best, request: undefined, forecast: undefined};
  }

  engines.forEach((engine, index) => {
    for (
      let time = (index * PERIOD) / engines.length;
      time < DURATION;
      time += PERIOD
    ) {
      at(time, () => report(engine));
    }
  });
  const rate = engines.reduce(
    (sum, {pace}) => sum + ENGINE_RATE / meanPace(pace),
    0,
  );
  for (
    let time = 400;
    time < DURATION;
    time += exponential() / (rate * options.load)
  ) {
    at(time, arrive);
  }
  for (; now < DURATION; now += 1) {
    const due = buckets[now] ?? [];
    // A due event may add others for the same millisecond.
    for (let index = 0; index < due.length; index += 1) due[index]!();
    delete buckets[now];
  }
  return late / Math.max(1, sent);
}

/** The effective pace of an engine: the inverse of its mean speed. */
function meanPace(pace: (now: number) => number): number {
  let speed = 0;
  for (let now = 0; now < DURATION; now += 100) speed += 1 / pace(now);
  return DURATION / 100 / speed;
}
