import {
  createRequestSizes,
  createTargetRegistry,
  hash32,
  outputToReserve,
  type PlacementRequest,
  type InFlightRequest,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {engineLoad, engineRequest, engineTarget} from '../fixtures/placement';

/**
 * Twelve requests of the mean size fill an engine's memory; one in twenty is
 * large.
 */
const MEMORY = 20_000;
const SLOTS = 12;
const ENGINES = 3;
const MEAN_PROMPT = 1_500;
const MEAN_OUTPUT = 200;
const MAX_OUTPUT = 500;
const STEP = 10;
const CHECK_PERIOD = 20;
const REPORT_PERIOD = 100;
const DURATION = 12_000;
const SILENT_FROM = 4_000;
const SILENT_UNTIL = 7_000;

type Hint = 'right' | 'none' | 'zero' | 'huge';

interface Simulation {
  readonly entries: number;
  /** Age of reports when they are used. */
  readonly delay: number;
  readonly lostShare: number;
  readonly hint: Hint;
}

interface Run {
  readonly prompt: number;
  readonly output: number;
  readonly inFlight: InFlightRequest;
  startedAt: number;
}

function hintFor(hint: Hint, output: number): number | undefined {
  switch (hint) {
    case 'right':
      return output;
    case 'none':
      return undefined;
    case 'zero':
      return 0;
    case 'huge':
      return 1e9;
  }
}

/**
 * Simulates more load than memory; returns the maximum memory use and the
 * number of served requests.
 */
function simulate({entries, delay, lostShare, hint}: Simulation) {
  let drawn = 0;
  const draw = () => hash32(`${entries} ${delay} ${(drawn += 1)}`) / 2 ** 32;
  const outputs = createRequestSizes();
  const senders = Array.from({length: entries}, (_, index) => ({
    instance: `entry-${index}`,
    zone: 'north',
  }));
  const targets = Array.from({length: ENGINES}, (_, index) =>
    engineTarget(`engine-${index}`, {slots: SLOTS}),
  );
  const registries = senders.map(sender => {
    const registry = createTargetRegistry(sender);
    registry.list(targets, 0);
    registry.setEntries(senders);
    return registry;
  });
  const engines = targets.map(target => ({
    target,
    running: [] as Run[],
    waiting: [] as Run[],
    sequence: 0,
  }));
  const pendingReports: {at: number; tell: () => void}[] = [];
  let maxUse = 0;
  let served = 0;

  function createRequest(now: number): {
    request: PlacementRequest;
    prompt: number;
    output: number;
  } {
    const isLarge = draw() < 0.05;
    const prompt = MEAN_PROMPT * (isLarge ? 3 : 0.4 + draw());
    const output = Math.min(MAX_OUTPUT, MEAN_OUTPUT * (0.3 + 1.4 * draw()));
    const estimates = {
      hint: hintFor(hint, output),
      most: MAX_OUTPUT,
      seen: outputs.seen('route'),
    };
    const reserved = outputToReserve(estimates, MEMORY / 4);
    const tokens = prompt + reserved;
    const memory = {engineTokens: MEMORY, tokens, output: reserved};
    return {request: engineRequest({now, memory}), prompt, output};
  }

  function heldBy({prompt, output, startedAt}: Run, now: number): number {
    return prompt + Math.min(output, (now - startedAt) / STEP);
  }

  for (let now = 0; now < DURATION; now += CHECK_PERIOD) {
    for (const {at, tell} of pendingReports.splice(0)) {
      if (at <= now) tell();
      else pendingReports.push({at, tell});
    }
    for (const engine of engines) {
      for (const run of [...engine.running]) {
        if (now - run.startedAt < run.output * STEP) continue;
        engine.running.splice(engine.running.indexOf(run), 1);
        run.inFlight.end();
        outputs.record('route', run.output);
        served += 1;
      }
      while (engine.running.length < SLOTS) {
        const next = engine.waiting.shift();
        if (next === undefined) break;
        engine.running.push({...next, startedAt: now});
      }
      const held = engine.running.reduce(
        (sum, run) => sum + heldBy(run, now),
        0,
      );
      maxUse = Math.max(maxUse, held / MEMORY);
      const isSilent = now >= SILENT_FROM && now < SILENT_UNTIL;
      if (now % REPORT_PERIOD !== 0 || isSilent) continue;
      engine.sequence += 1;
      const load = engineLoad(engine.target.instance, {
        running: engine.running.length,
        waiting: engine.waiting.length,
        sequence: engine.sequence,
        memoryShare: held / MEMORY,
      });
      if (draw() < lostShare) continue;
      for (const registry of registries) {
        pendingReports.push({
          at: now + delay,
          tell: () => registry.report(load, now + delay),
        });
      }
    }
    for (const registry of registries) {
      const {request, prompt, output} = createRequest(now);
      const choice = registry.choose(request);
      if (choice.kind !== 'chosen') continue;
      const inFlight = registry.begin(choice.target, {
        promptTime: 0,
        memory: request.memory,
        at: now,
        onIncarnationEnded: () => undefined,
      });
      const run = {prompt, output, inFlight, startedAt: now};
      const engine = engines.find(({target}) => target === choice.target);
      engine?.waiting.push(run);
    }
  }
  return {maxUse, served};
}

const simulations: readonly Simulation[] = [1, 3, 43].flatMap(entries =>
  (['right', 'none', 'zero', 'huge'] as const).flatMap(hint => [
    {entries, hint, delay: 0, lostShare: 0},
    {entries, hint, delay: 300, lostShare: 0.3},
  ]),
);

const largest: Simulation = {
  entries: 390,
  hint: 'zero',
  delay: 300,
  lostShare: 0.3,
};

// An engine whose requests exceed its memory terminates, and all of its
// requests with it.
test.each([...simulations, largest])(
  'no engine gets more than its memory holds: %o',
  simulation => {
    const {maxUse, served} = simulate(simulation);
    expect(maxUse).toBeLessThanOrEqual(1);
    expect(served).toBeGreaterThan(50);
  },
);
