import {
  createGenerationManager,
  DEFAULT_GENERATION_MANAGER_BOUNDS,
  getGenerationStatus,
  initialConfiguration,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {sha256Text} from '../fixtures/memory_table';
import {propertySettings} from '../fixtures/property_settings';
import {
  createSpreadingSite,
  generationAt,
  type SpreadingSite,
} from '../fixtures/spreading_site';

const PROCESSES = 6;

const slot = fc.nat(PROCESSES - 1);
const position = fc.nat(1_000);

type Step = (site: SpreadingSite) => void;

/** One step, with a name for counterexamples. */
const step: fc.Arbitrary<{readonly name: string; readonly run: Step}> =
  fc.oneof(
    {weight: 4, arbitrary: named('deliver', position, deliver)},
    {weight: 1, arbitrary: named('damage', position, damage)},
    {weight: 1, arbitrary: named('drop', position, (s, p) => s.drop(p))},
    {weight: 1, arbitrary: named('double', position, (s, p) => s.duplicate(p))},
    {weight: 2, arbitrary: named('accept', slot, (s, p) => s.accept(p))},
    {weight: 2, arbitrary: named('kill', slot, (s, p) => s.kill(p))},
    {weight: 3, arbitrary: named('start', slot, startFully)},
    {weight: 2, arbitrary: named('startStep', slot, (s, p) => s.startStep(p))},
    {weight: 2, arbitrary: named('tick', slot, (s, p) => s.tick(p))},
    {weight: 1, arbitrary: named('time', fc.nat(900), (s, p) => s.advance(p))},
    {weight: 1, arbitrary: named('outage', fc.boolean(), setPlatform)},
    {weight: 2, arbitrary: named('beat', fc.tuple(slot, slot), heartbeat)},
    {weight: 2, arbitrary: named('groups', fc.nat(63), setPartitions)},
    {weight: 1, arbitrary: named('heal', slot, site => site.reconnectAll())},
    {weight: 2, arbitrary: named('round', slot, round)},
    {
      weight: 2,
      arbitrary: named('lose', fc.tuple(slot, fc.nat(2)), startInOutage),
    },
  );

function named<Value>(
  name: string,
  values: fc.Arbitrary<Value>,
  run: (site: SpreadingSite, value: Value) => void,
) {
  return values.map(value => ({
    name: `${name} ${JSON.stringify(value)}`,
    run: (site: SpreadingSite) => run(site, value),
    toString: () => `${name} ${JSON.stringify(value)}`,
  }));
}

function deliver(site: SpreadingSite, value: number): void {
  site.deliver(value, false);
}

/**
 * One process announces to all others, and what they pull from it is corrupted
 * in transit.
 */
function damage(site: SpreadingSite, value: number): void {
  for (let to = 0; to < PROCESSES; to += 1) site.heartbeat(value, to);
  for (let left = 40; site.queue.length > 0 && left > 0; left -= 1) {
    site.deliver(0, true);
  }
}

function setPlatform(site: SpreadingSite, isUp: boolean): void {
  site.setPlatform(isUp);
}

function heartbeat(site: SpreadingSite, [from, to]: [number, number]): void {
  site.heartbeat(from, to);
}

/** Disconnects the processes whose bit is set from those whose bit is not. */
function setPartitions(site: SpreadingSite, mask: number): void {
  const isIn = (number: number) => (mask >> number) % 2 === 1;
  for (let left = 0; left < PROCESSES; left += 1) {
    for (let right = 0; right < left; right += 1) {
      site.setCut(left, right, isIn(left) !== isIn(right));
    }
  }
}

/**
 * Sends all heartbeats and delivers the resulting messages, as far as the
 * network permits.
 */
function round(site: SpreadingSite): void {
  const numbers = site.slots.map((_, number) => number);
  for (const from of numbers) {
    for (const to of numbers) if (to !== from) site.heartbeat(from, to);
  }
  for (let left = 300; site.queue.length > 0 && left > 0; left -= 1) {
    site.deliver(0, false);
  }
}

/** The platform goes down while a replaced process is starting. */
function startInOutage(
  site: SpreadingSite,
  [number, stepsBefore]: [number, number],
): void {
  site.kill(number);
  site.start(number);
  for (let done = 0; done < stepsBefore; done += 1) site.startStep(number);
  site.setPlatform(false);
  for (let done = 0; done < 5; done += 1) site.startStep(number);
}

function startFully(site: SpreadingSite, number: number): void {
  site.start(number);
  for (let steps = 0; steps < 4; steps += 1) site.startStep(number);
}

/** Repairs everything except the platform. */
function settle(site: SpreadingSite): void {
  site.reconnectAll();
  const numbers = site.slots.map((_, number) => number);
  for (let round = 0; round < 10; round += 1) {
    site.advance(500);
    for (const number of numbers) {
      startFully(site, number);
      site.tick(number);
      for (const to of numbers) if (to !== number) site.heartbeat(number, to);
    }
    for (let left = 2_000; site.queue.length > 0 && left > 0; left -= 1) {
      site.deliver(0, false);
    }
  }
}

function check(runs: number, assertion: (site: SpreadingSite) => void): void {
  const steps = fc.array(step, {minLength: 30, maxLength: 120});
  fc.assert(
    fc.property(steps, taken => {
      const site = createSpreadingSite(PROCESSES);
      for (const {run} of taken) run(site);
      assertion(site);
    }),
    propertySettings(runs),
  );
}

describe('propagation of a generation', () => {
  // An accepted change disappears if a late copy of an older configuration
  // arrives after the newer one, or if a process is replaced during an outage
  // and queries peers that lag behind its predecessor.
  test('the generation of a process and of its replacement never decreases', () => {
    check(1_000, site => expect(site.regressions).toEqual([]));
  });

  // A configuration is corrupted in transit, or half of it is from an older
  // one.
  test('only complete accepted configurations come into force', () => {
    check(300, site => {
      for (const {state: life} of site.slots) {
        if (life.kind !== 'ready') continue;
        const current = life.manager.current();
        expect(current).toEqual(site.history[current.generation]);
      }
    });
  });

  // A process would lag permanently if the one message that announced the
  // change was lost, or if the peer it pulled from was frozen.
  test('every reachable process reaches the head', () => {
    check(200, site => {
      settle(site);
      const ready = site.slots.filter(({state: life}) => life.kind === 'ready');
      const generations = ready.map(found => generationAt(found) ?? 0);
      const highest = Math.max(0, ...generations);
      expect(generations.every(found => found === highest)).toBe(true);
      if (!site.isPlatformUp()) return;
      expect(ready).toHaveLength(PROCESSES);
      expect(highest).toBe(site.history.length - 1);
    });
  });

  // Hundreds of processes that poll the head without any change would use up
  // the table's reads.
  test('all processes together read the head at a fixed rate', () => {
    fc.assert(
      fc.property(fc.integer({min: 1, max: 600}), count => {
        const start = initialConfiguration(sha256Text);
        const managers = Array.from({length: count}, (_, number) =>
          createGenerationManager({
            instance: `process-${number}`,
            digestText: sha256Text,
            start,
            startedAt: 0,
          }),
        );
        let reads = 0;
        const seconds = 60;
        for (let now = 0; now < seconds * 1_000; now += 250) {
          for (const manager of managers) {
            reads += manager.tick({
              now,
              peers: [],
              liveProcesses: count,
            }).length;
          }
        }
        const {headReadsPerSecond} = DEFAULT_GENERATION_MANAGER_BOUNDS;
        // The first period is shortened, so each process may read once more.
        expect(reads).toBeLessThanOrEqual(headReadsPerSecond * seconds + count);
      }),
      propertySettings(10),
    );
  });

  test('lists the processes that lag behind a generation', () => {
    const processes = [
      {instance: 'a', generation: 3},
      {instance: 'b', generation: 2},
      {instance: 'c', generation: undefined},
    ];
    const followed = getGenerationStatus(3, processes);
    expect(followed.lagging.map(({instance}) => instance)).toEqual(['b', 'c']);
    expect(getGenerationStatus(2, processes.slice(0, 2)).isInForce).toBe(true);
  });
});
