import {afterEach, beforeEach, describe, expect, test, vi} from 'vitest';
import {createPlannedStop} from '../../packages/fleet/src/entry/planned_stop';
import {createRunDurations} from '../../packages/fleet/src/entry/run_durations';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

const GRACE = 8_000;
const CALLERS_STAY_FOR = 3_000;

/** When requests in progress get their final answers. */
const FINAL_ANSWERS = 7_200;

describe('acceptance by a stopping entry', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  async function stopFor(elapsed: number) {
    const stop = createPlannedStop({
      grace: GRACE,
      callersStayFor: CALLERS_STAY_FOR,
      clock: () => Date.now(),
    });
    void stop.begin();
    await vi.advanceTimersByTimeAsync(elapsed);
    return (timeLeft: number, longestRun?: number, hasAlternative = true) =>
      stop.mayAccept({timeLeft, longestRun, hasAlternative});
  }

  test('a request is accepted if its deadline comes before the final answers', async () => {
    for (const elapsed of [0, 1_000, 3_000, 3_550]) {
      const accepts = await stopFor(elapsed);
      expect(accepts(FINAL_ANSWERS - elapsed)).toBe(true);
      expect(accepts(FINAL_ANSWERS - elapsed + 1)).toBe(false);
    }
  });

  test('a request that probably ends in time is accepted while callers use earlier answers', async () => {
    const early = await stopFor(2_900);
    expect(early(6_000, 2_000)).toBe(true);
    expect(early(6_000, 4_000)).toBe(false);
    const late = await stopFor(3_100);
    expect(late(6_000, 2_000)).toBe(false);
  });

  // A refusal would leave it unserved.
  test('a request that probably ends in time is accepted if there is no other entry', async () => {
    const late = await stopFor(3_100);
    expect(late(6_000, 2_000, false)).toBe(true);
    expect(late(6_000, 4_000, false)).toBe(false);
  });

  test('nothing is accepted once the serving share has passed', async () => {
    const accepts = await stopFor(3_650);
    expect(accepts(100)).toBe(false);
  });
});

test('the longest duration of a route is forgotten after a while', () => {
  let now = 0;
  const durations = createRunDurations(() => now);
  durations.record('stream', 3_000);
  durations.record('stream', 1_000);
  expect(durations.longest('stream')).toBe(3_000);
  expect(durations.longest('other')).toBeUndefined();
  now = 31_000;
  durations.record('stream', 1_000);
  expect(durations.longest('stream')).toBe(3_000);
  now = 62_000;
  expect(durations.longest('stream')).toBe(1_000);
  now = 200_000;
  expect(durations.longest('stream')).toBeUndefined();
});

describe('a planned stop', () => {
  let site: HostSite;
  let engine: HostEngine;

  beforeEach(async () => {
    site = await startHostSite();
  });

  afterEach(async () => {
    await site.close();
    await engine.close();
  });

  /** Starts two entries and an engine; returns the entry to be stopped. */
  async function startTwoEntries(pause: number) {
    engine = await startHostEngine({
      instance: 'one',
      version: 1,
      events: 10,
      pause,
    });
    site.register(engine, {
      Service: 'engines',
      Models: [{Name: 'model', Version: 1, Adapters: []}],
    });
    site.configure();
    const entries = [await site.startEntry(), await site.startEntry()] as const;
    const addresses = entries.map(({settings}) => settings);
    await eventually(
      () => site.lines.filter(({message}) => message === 'target').length >= 2,
    );
    await eventually(async () => {
      const ready = addresses.map(address => isReady(address.readinessAddress));
      return !(await Promise.all(ready)).includes(false);
    });
    return entries[0];
  }

  const streamFrom = (address: string, patience: number) =>
    send(address, '/stream/a', {
      'x-hibiscusbeam-model': 'model',
      'x-hibiscusbeam-deadline-ms': String(patience),
    });

  test('a stopping entry refuses a stream that may outlast it, and cuts none', async () => {
    const {settings, running} = await startTwoEntries(400);
    void running.stop();
    const answer = await streamFrom(settings.callerAddress, 10_000);
    expect(answer.status).toBe(503);
    expect(answer.headers['retry-after']).toBeDefined();
    expect(engine.runs).toEqual([]);
  });

  test('a stopping entry serves what ends before its final answers', async () => {
    const {settings, running} = await startTwoEntries(1);
    void running.stop();
    const answer = await streamFrom(settings.callerAddress, 1_700);
    expect(answer.status).toBe(200);
    expect(answer.text).toContain('id: 10\n');
  });
});
