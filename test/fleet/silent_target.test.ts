import {afterEach, beforeEach, expect, test} from 'vitest';
import {
  AS_ENGINE,
  SILENCE_MS,
  blockEventLoop,
  startShortObjectiveSite,
  WHOLE_STREAM,
  type ShortObjectiveSite,
} from './fixtures/short_objective_site';

/** Together longer than a target may be silent, but each of them shorter. */
const SHORT_SILENCE = 400;
const STALL = 300;

let fixture: ShortObjectiveSite;
const startTarget: ShortObjectiveSite['startTarget'] = (...args) =>
  fixture.startTarget(...args);
const serve = () => fixture.serve();
const sendRequest = (route: string) => fixture.sendRequest(route);

beforeEach(async () => {
  fixture = await startShortObjectiveSite();
});

afterEach(() => fixture.close());

test('a target that falls silent before its answer and resumes loses no request', async () => {
  const plain = await startTarget('plain');
  const model = await startTarget('model', AS_ENGINE);
  await serve();
  const fault = {kind: 'silent', after: 0, duration: SILENCE_MS} as const;
  for (const engine of [plain, model]) engine.setFault(fault);
  const routes = ['quick', 'once', 'going', 'fixed'];
  const replies = await Promise.all(routes.map(sendRequest));
  expect(replies.map(({status}) => status)).toEqual([200, 200, 200, 200]);
});

test('a target that falls silent within a stream and resumes loses no stream', async () => {
  await startTarget('plain');
  const model = await startTarget('model', AS_ENGINE);
  await serve();
  model.setFault({kind: 'silent', after: 1, duration: SILENCE_MS});
  const replies = await Promise.all(['going', 'fixed'].map(sendRequest));
  for (const {text} of replies) expect(text).toContain(WHOLE_STREAM);
});

test('an answer that arrives while the event loop of its entry is stalled is forwarded', async () => {
  let onAnswered = (): void => undefined;
  const options = {onAnswered: () => onAnswered()};
  const plain = await startTarget('plain', {}, options);
  await startTarget('model', AS_ENGINE);
  await serve();
  plain.setFault({kind: 'silent', after: 0, duration: SHORT_SILENCE});
  onAnswered = () => blockEventLoop(STALL);
  expect((await sendRequest('once')).status).toBe(200);
});
