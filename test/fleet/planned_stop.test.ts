import {afterEach, beforeEach, describe, expect, test, vi} from 'vitest';
import {
  createPlannedStop,
  type StoppingCallers,
} from '../../packages/fleet/src/entry/planned_stop';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

const GRACE = 8_000;

/** When requests in progress get their final answers. */
const FINAL_ANSWERS = 7_200;

/** When nothing is accepted any more. */
const CLOSED = 3_650;

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
      clock: () => Date.now(),
    });
    void stop.begin();
    await vi.advanceTimersByTimeAsync(elapsed);
    return stop.mayAccept;
  }

  test('a request is accepted if its deadline comes before the final answers', async () => {
    for (const elapsed of [0, 1_000, 3_000, 3_550]) {
      const accepts = await stopFor(elapsed);
      expect(accepts(FINAL_ANSWERS - elapsed)).toBe(true);
      expect(accepts(FINAL_ANSWERS - elapsed + 1)).toBe(false);
    }
  });

  test('nothing is accepted once the serving share has passed', async () => {
    const accepts = await stopFor(CLOSED);
    expect(accepts(100)).toBe(false);
  });
});

// A request was closed without an answer that arrived when nothing else ran.
describe('the end of a planned stop', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  /** Begins the end after `elapsed`; returns whether it is over by now. */
  async function endAfter(elapsed: number, callers: StoppingCallers) {
    const stop = createPlannedStop({grace: GRACE, clock: () => Date.now()});
    void stop.begin();
    await vi.advanceTimersByTimeAsync(elapsed);
    let isOver = false;
    const end = async (): Promise<void> => {
      await stop.awaitRequests(callers);
      await stop.awaitArriving(callers);
      isOver = true;
    };
    void end();
    await vi.advanceTimersByTimeAsync(0);
    return () => isOver;
  }

  function callersWith(changes: Partial<StoppingCallers>): StoppingCallers {
    return {
      isIdle: () => true,
      connections: () => 1,
      endAll: () => undefined,
      ...changes,
    };
  }

  test('is over at once when no connection is open', async () => {
    const isOver = await endAfter(CLOSED, callersWith({connections: () => 0}));
    expect(isOver()).toBe(true);
  });

  test('waits for a request on its way on an open connection', async () => {
    const isOver = await endAfter(CLOSED, callersWith({}));
    await vi.advanceTimersByTimeAsync(400);
    expect(isOver()).toBe(false);
    await vi.advanceTimersByTimeAsync(150);
    expect(isOver()).toBe(true);
  });

  test('waits for a request that began to run when no other ran', async () => {
    let isIdle = true;
    const isOver = await endAfter(CLOSED, callersWith({isIdle: () => isIdle}));
    isIdle = false;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(isOver()).toBe(false);
    isIdle = true;
    await vi.advanceTimersByTimeAsync(50);
    expect(isOver()).toBe(true);
  });

  test('ends what still runs, and comes before the grace period is over', async () => {
    const endAll = vi.fn();
    const isOver = await endAfter(
      CLOSED,
      callersWith({isIdle: () => false, endAll}),
    );
    await vi.advanceTimersByTimeAsync(FINAL_ANSWERS - CLOSED - 100);
    expect(endAll).not.toHaveBeenCalled();
    await vi.advanceTimersByTimeAsync(200);
    expect(endAll).toHaveBeenCalled();
    await vi.advanceTimersByTimeAsync(GRACE - FINAL_ANSWERS - 150);
    expect(isOver()).toBe(true);
  });
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
    const [entry] = await startEntries(2, pause);
    return entry!;
  }

  async function startEntries(count: number, pause: number) {
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
    const entries = await Promise.all(
      Array.from({length: count}, () => site.startEntry()),
    );
    const addresses = entries.map(({settings}) => settings);
    await eventually(
      () =>
        site.lines.filter(({message}) => message === 'target').length >= count,
    );
    await eventually(async () => {
      const ready = addresses.map(address => isReady(address.readinessAddress));
      return !(await Promise.all(ready)).includes(false);
    });
    return entries;
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

  // How long recent requests took says nothing about the next one.
  test.each([1, 2])(
    'one of %i entries cuts no request that it accepts while it stops, however long others took',
    async count => {
      const [stopping] = await startEntries(count, 1);
      const {settings, running} = stopping!;
      const short = await streamFrom(settings.callerAddress, 10_000);
      expect(short.status).toBe(200);
      engine.setFault({kind: 'silent', after: 1, duration: 3_000});
      const stopped = running.stop();
      const outcomes = [];
      for (let sent = 0; sent < 10; sent += 1) {
        const answer = streamFrom(settings.callerAddress, 10_000);
        outcomes.push(answer.then(({status}) => status).catch(() => 'cut'));
        await new Promise(resolve => setTimeout(resolve, 50));
      }
      expect(await Promise.all(outcomes)).toEqual(outcomes.map(() => 503));
      await stopped;
    },
  );
});
