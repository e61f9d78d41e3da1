import {describe, expect, it} from 'vitest';
import {createBatch} from '../../packages/standins/src/engine/batch';
import {
  createPrefixCache,
  hashPrefix,
} from '../../packages/standins/src/engine/prefix_cache';
import {createRun} from '../../packages/standins/src/engine/run';
import type {Run} from '../../packages/standins/src/engine/run';
import {createFreezer} from '../../packages/standins/src/shared/freezer';
import {createManualClock} from './manual_clock';

function setUp() {
  const clock = createManualClock();
  const freezer = createFreezer();
  const cache = createPrefixCache(clock, 2);
  const started: string[] = [];
  const batch = createBatch({
    clock,
    freezer,
    cache,
    slots: 2,
    queueLimit: 2,
    times: {tokenTime: 10, firstTokenTime: 100},
    onChange: () => undefined,
    onStart: run => started.push(run.generation.attempt),
  });
  return {clock, freezer, cache, batch, started};
}

function run(attempt: string, changes: {prompt?: string; priority?: number}) {
  return createRun({
    attempt,
    model: 'notes',
    versionDigest: 'sha256:1',
    prompt: changes.prompt ?? attempt,
    maximumTokens: 3,
    priority: changes.priority ?? 0,
  });
}

/** Records the time of each of a run's tokens. */
function tokenTimes(subject: Run, clock: {now: () => number}): number[] {
  const times: number[] = [];
  subject.follow(
    {
      line: line => {
        if (line.kind === 'token') times.push(clock.now());
      },
      close: () => undefined,
    },
    0,
  );
  return times;
}

describe('batch', () => {
  it('runs no more than its slots and refuses above the queue', async () => {
    const {clock, batch} = setUp();
    const submitted = ['a', 'b', 'c', 'd', 'e'].map(attempt =>
      batch.submit(run(attempt, {})),
    );
    expect(submitted).toEqual([true, true, true, true, false]);
    expect(batch.load()).toEqual({running: 2, queued: 2});
    await clock.advance(1_000);
    expect(batch.load()).toEqual({running: 0, queued: 0});
  });

  it('starts queued runs by priority, then by age', async () => {
    const {clock, batch, started} = setUp();
    const first = ['a', 'b'].map(attempt => run(attempt, {}));
    const late = run('late', {priority: 2});
    const urgent = run('urgent', {priority: 1});
    for (const next of [...first, late, urgent]) batch.submit(next);
    await clock.advance(1_000);
    expect(started).toEqual(['a', 'b', 'urgent', 'late']);
  });

  it('takes longer for a token with more runs in the batch', async () => {
    const {clock, batch} = setUp();
    const alone = run('a', {});
    const timesAlone = tokenTimes(alone, clock);
    batch.submit(alone);
    await clock.advance(1_000);
    const together = run('b', {});
    const timesTogether = tokenTimes(together, clock);
    batch.submit(together);
    batch.submit(run('c', {}));
    await clock.advance(1_000);
    const gap = (times: number[]) => (times[1] ?? 0) - (times[0] ?? 0);
    expect(gap(timesAlone)).toBeCloseTo(10);
    expect(gap(timesTogether)).toBeCloseTo(10.5);
  });

  it('gives the first token sooner when the prefix is cached', async () => {
    const {clock, batch} = setUp();
    const prompt = 'p'.repeat(256);
    const cold = run('a', {prompt: `${prompt} one`});
    const coldTimes = tokenTimes(cold, clock);
    batch.submit(cold);
    await clock.advance(1_000);
    const warm = run('b', {prompt: `${prompt} two`});
    const warmTimes = tokenTimes(warm, clock);
    batch.submit(warm);
    await clock.advance(1_000);
    expect(coldTimes[0]).toBe(100);
    expect(warmTimes[0]).toBe(1_020);
  });

  it('produces nothing while frozen', async () => {
    const {clock, freezer, batch} = setUp();
    const frozen = run('a', {});
    const times = tokenTimes(frozen, clock);
    batch.submit(frozen);
    freezer.set(true);
    await clock.advance(1_000);
    expect(times).toEqual([]);
    freezer.set(false);
    await clock.advance(1_000);
    expect(times).toHaveLength(3);
  });

  it('gives the slot of a cancelled run to the next one', () => {
    const {batch, started} = setUp();
    const cancelled = run('a', {});
    for (const next of [cancelled, run('b', {}), run('c', {})]) {
      batch.submit(next);
    }
    cancelled.cancel();
    batch.remove(cancelled);
    expect(started).toEqual(['a', 'b', 'c']);
  });
});

describe('prefix cache', () => {
  it('evicts the least recently used prefix and publishes events late', async () => {
    const {clock, cache} = setUp();
    cache.setLag(50);
    for (const prompt of ['a', 'b', 'a', 'c']) cache.use('sha256:1', prompt);
    expect(cache.eventsAfter(0)).toEqual({events: [], latest: 0});
    await clock.advance(50);
    const {events, latest} = cache.eventsAfter(0);
    expect(events.map(event => [event.kind, event.prefix])).toEqual([
      ['stored', hashPrefix('a')],
      ['stored', hashPrefix('b')],
      ['stored', hashPrefix('c')],
      ['evicted', hashPrefix('b')],
    ]);
    expect(latest).toBe(4);
    expect(cache.use('sha256:1', 'a')).toBe(true);
    expect(cache.use('sha256:2', 'a')).toBe(false);
  });

  it('omits events from the sequence as set', () => {
    const {cache} = setUp();
    cache.setGapEvery(2);
    for (const prompt of ['a', 'b', 'c']) cache.use('sha256:1', prompt);
    const sequences = cache.eventsAfter(0).events.map(event => event.sequence);
    expect(sequences).toEqual([1, 3]);
    expect(cache.eventsAfter(1).events).toHaveLength(1);
  });
});
