import {createNamedVersions, VERSION_BOUND_MARGIN} from '@hibiscusbeam/core';
import {afterEach, beforeEach, describe, expect, test, vi} from 'vitest';
import {createUnbegunAttempts} from '../../packages/fleet/src/entry/unbegun_attempts';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

const BOUND = 4_000;

describe('attempts that have not begun', () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  function startTracker() {
    const withdrawn: string[] = [];
    const versions = createNamedVersions(BOUND - VERSION_BOUND_MARGIN, () =>
      tracker.update(),
    );
    const tracker = createUnbegunAttempts({
      versions: () => versions,
      machineClock: () => Date.now(),
    });
    const track = (name: string, held: () => number) =>
      tracker.track({
        model: 'model',
        isFar: false,
        heldVersion: held,
        withdraw: () => withdrawn.push(name),
      });
    return {versions, withdrawn, track};
  }

  test('are withdrawn by the bound, whether they started before or after the naming', async () => {
    const {versions, withdrawn, track} = startTracker();
    track('before', () => 1);
    versions.name('model', 2, Date.now());
    track('after', () => 1);
    await vi.advanceTimersByTimeAsync(BOUND - VERSION_BOUND_MARGIN);
    expect(withdrawn).toEqual([]);
    await vi.advanceTimersByTimeAsync(VERSION_BOUND_MARGIN);
    expect(withdrawn).toEqual(['before', 'after']);
  });

  test('stay if they begin, or their engine holds the new version by then', async () => {
    const {versions, withdrawn, track} = startTracker();
    let held = 1;
    versions.name('model', 2, Date.now());
    const stop = track('begun', () => 1);
    track('loaded', () => held);
    track('waiting', () => 1);
    await vi.advanceTimersByTimeAsync(BOUND / 2);
    stop();
    held = 2;
    await vi.advanceTimersByTimeAsync(BOUND);
    expect(withdrawn).toEqual(['waiting']);
  });

  test('are withdrawn at once if an earlier naming becomes known', async () => {
    const {versions, withdrawn, track} = startTracker();
    track('late', () => 1);
    versions.name('model', 2, Date.now() - BOUND);
    await vi.advanceTimersByTimeAsync(1);
    expect(withdrawn).toEqual(['late']);
  });
});

describe('an entry', () => {
  let site: HostSite;
  let engine: HostEngine;

  beforeEach(async () => {
    site = await startHostSite();
    engine = await startHostEngine({instance: 'old', version: 1});
  });

  afterEach(async () => {
    await site.close();
    await engine.close();
  });

  // A request that waits at a busy engine would begin on the old version after
  // its bound.
  test('withdraws a request that waits at an engine with an old version by its bound', async () => {
    engine.setFault({kind: 'silent', after: 0, duration: 2 * BOUND});
    const Models = [{Name: 'model', Version: 1, Adapters: []}];
    site.register(engine, {Service: 'engines', Models});
    site.configure();
    const {settings} = await site.startEntry({version: BOUND});
    await eventually(() => isReady(settings.readinessAddress));
    await eventually(() =>
      site.lines.some(({message}) => message === 'target'),
    );
    site.store.write('op', 'version/model', {Model: 'model', Version: 2});
    const {status, text} = await send(settings.callerAddress, '/stream/a', {
      'x-hibiscusbeam-model': 'model',
      'x-hibiscusbeam-deadline-ms': '12000',
    });
    expect([status, text.trim()]).toEqual([502, 'withdrawn']);
    await eventually(() => engine.runs[0]?.isCut());
  });
});
