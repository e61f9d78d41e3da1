import {afterEach, beforeEach, expect, test} from 'vitest';
import {
  AS_ENGINE,
  SILENCE,
  standStill,
  startQuickSite,
  WHOLE_STREAM,
  type QuickSite,
} from './fixtures/quick_site';

/** Together longer than a target may be silent; each of them is shorter. */
const SHORT_SILENCE = 400;
const STALL = 300;

let quick: QuickSite;
const startTarget: QuickSite['startTarget'] = (...args) =>
  quick.startTarget(...args);
const serve = () => quick.serve();
const ask = (route: string) => quick.ask(route);

beforeEach(async () => {
  quick = await startQuickSite();
});

afterEach(() => quick.close());

test('a target that falls silent before its answer and goes on loses no request', async () => {
  const plain = await startTarget('plain');
  const model = await startTarget('model', AS_ENGINE);
  await serve();
  const fault = {kind: 'silent', after: 0, duration: SILENCE} as const;
  for (const engine of [plain, model]) engine.setFault(fault);
  const routes = ['quick', 'once', 'going', 'fixed'];
  const replies = await Promise.all(routes.map(ask));
  expect(replies.map(({status}) => status)).toEqual([200, 200, 200, 200]);
});

test('a target that falls silent within a stream and goes on loses no stream', async () => {
  await startTarget('plain');
  const model = await startTarget('model', AS_ENGINE);
  await serve();
  model.setFault({kind: 'silent', after: 1, duration: SILENCE});
  const replies = await Promise.all(['going', 'fixed'].map(ask));
  for (const {text} of replies) expect(text).toContain(WHOLE_STREAM);
});

test('an answer that arrives while the loop of its entry stands still is passed on', async () => {
  let onAnswered = (): void => undefined;
  const options = {onAnswered: () => onAnswered()};
  const plain = await startTarget('plain', {}, options);
  await startTarget('model', AS_ENGINE);
  await serve();
  plain.setFault({kind: 'silent', after: 0, duration: SHORT_SILENCE});
  onAnswered = () => standStill(STALL);
  expect((await ask('once')).status).toBe(200);
});
