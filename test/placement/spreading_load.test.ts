import {
  createTargetRegistry,
  hash32,
  type ListedTarget,
  type InFlightRequest,
  type SendingEntry,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {engineLoad, engineRequest, engineTarget} from '../fixtures/placement';

/** A zone at 0.9 of its engines' limit; times in milliseconds. */
const ENGINES = 6;
const ENTRIES = 3;
const SLOTS = 16;
const REQUESTS_PER_SECOND = 50;
const DURATION = 40_000;
const REPORT_PERIOD = 100;
const MEAN_PROMPT = 50;
const GENERATION_TIME = 1_500;
const PASS_TIME = 150;
const OBJECTIVE = 400;

interface Engine {
  readonly target: ListedTarget;
  /** When all prompts that it has been given are read. */
  readUntil: number;
  running: number;
  sequence: number;
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** Random numbers from 0 to 1 that are the same in each run. */
function createRandom(seed: number): () => number {
  let count = 0;
  return () => hash32(`${seed}/${(count += 1)}`) / 2 ** 32;
}

function createEngines(): readonly Engine[] {
  return Array.from({length: ENGINES}, (_, index) => ({
    target: engineTarget(`engine-${index}`, {slots: SLOTS}),
    readUntil: 0,
    running: 0,
    sequence: index,
  }));
}

/** Simulates the load of one zone; returns the share of late first events. */
function simulateZone(seed: number): number {
  const next = createRandom(seed);
  const engines = createEngines();
  const entries: readonly SendingEntry[] = Array.from(
    {length: ENTRIES},
    (_, index) => ({instance: `entry-${index}`, zone: 'north'}),
  );
  const registries = entries.map(entry => {
    const registry = createTargetRegistry(entry);
    registry.list(
      engines.map(({target}) => target),
      0,
    );
    registry.setEntries(entries);
    return registry;
  });
  const events: Event[] = [];
  let sent = 0;
  let late = 0;

  function report(engine: Engine, now: number): void {
    engine.sequence += 1;
    const {running, sequence} = engine;
    const {instance, held = []} = engine.target;
    for (const registry of registries) {
      registry.report(engineLoad(instance, {held, running, sequence}), now);
    }
  }

  function send(arrivedAt: number, prompt: number, now: number): void {
    const registry = registries[Math.floor(next() * ENTRIES)]!;
    const choice = registry.choose(
      engineRequest({expectedRun: GENERATION_TIME, now}),
    );
    if (choice.kind !== 'chosen') {
      events.push({at: now + 10, run: () => send(arrivedAt, prompt, now + 10)});
      return;
    }
    const {target} = choice;
    const inFlight = registry.begin(target, {
      promptTime: prompt,
      onIncarnationEnded: () => undefined,
    });
    serve(
      engines.find(engine => engine.target === target)!,
      inFlight,
    );

    function serve(engine: Engine, request: InFlightRequest): void {
      engine.running += 1;
      engine.readUntil = Math.max(engine.readUntil, now) + prompt;
      const firstAt = engine.readUntil + PASS_TIME * next();
      sent += 1;
      if (firstAt - arrivedAt > OBJECTIVE) late += 1;
      events.push({at: firstAt, run: request.begun});
      events.push({
        at: firstAt + GENERATION_TIME * (0.5 + next()),
        run: () => {
          engine.running -= 1;
          request.end();
        },
      });
    }
  }

  for (const [index, engine] of engines.entries()) {
    const phase = (index * REPORT_PERIOD) / ENGINES;
    for (let at = phase; at < DURATION; at += REPORT_PERIOD) {
      events.push({at, run: () => report(engine, at)});
    }
  }
  for (let at = REPORT_PERIOD; at < DURATION;) {
    const arrivedAt = at;
    const prompt = -Math.log(1 - next()) * MEAN_PROMPT;
    events.push({at, run: () => send(arrivedAt, prompt, arrivedAt)});
    at += (-Math.log(1 - next()) * 1_000) / REQUESTS_PER_SECOND;
  }
  while (events.length > 0) {
    events.sort((one, other) => other.at - one.at);
    events.pop()!.run();
  }
  return late / sent;
}

// Three entries see the same least loaded engine in the same report and send
// their requests to it. Prompts wait for one another there while other engines
// read none, and first events are late although the zone has room. In three
// simulations, 4.2% were late by load and slots alone, and 3.3% with unread
// prompts and turns.
test('few first events of a busy zone are late', () => {
  const shares = [1, 2, 3].map(simulateZone);
  const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
  expect(mean).toBeLessThan(0.038);
});
