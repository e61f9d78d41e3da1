import {afterEach, beforeEach, expect, test} from 'vitest';
import {
  startHostEngine,
  startHostOrigin,
  type HostEngine,
  type HostOrigin,
} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

const CHUNKS = 6;

let site: HostSite;
let origin: HostOrigin;
let engine: HostEngine;

beforeEach(async () => {
  origin = await startHostOrigin(CHUNKS, () => 1);
  site = await startHostSite(origin);
  site.configure();
  engine = await startHostEngine({instance: 'one', born: 1_000});
});

afterEach(async () => {
  await site.close();
  await origin.close();
  await engine.close();
});

// An engine loses power and restarts under its id: it serves nothing, and
// nothing is staged. Its agent must detect both and restore the weights.
test('an engine that restarts under its id gets its weights again', async () => {
  await site.startAgent(engine);
  await eventually(() => engine.held() === 1);
  engine.staged.clear();
  engine.restart();
  await eventually(() => engine.held() === 1);
  expect(engine.staged.size).toBe(CHUNKS);
  const restartLines = site.lines.filter(
    ({message}) => message === 'engine has started anew',
  );
  expect(restartLines).toHaveLength(1);
});
