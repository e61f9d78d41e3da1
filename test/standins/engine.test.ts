import {afterEach, beforeEach, expect, it} from 'vitest';
import {canonicalJson} from '@hibiscusbeam/core';
import {answerText, startEngine} from '@hibiscusbeam/standins';
import type {AnswerLine, StandIn} from '@hibiscusbeam/standins';
import {digestOf} from '../../packages/standins/src/shared/digest';
import {send, sendJson} from './http';
import type {Answer} from './http';

const CHUNK = Buffer.from('the weights');
const CHUNK_DIGEST = digestOf(CHUNK);
const MANIFEST = {
  model: 'notes',
  label: '1',
  chunks: [{digest: CHUNK_DIGEST, size: CHUNK.length}],
};
const VERSION = digestOf(canonicalJson(MANIFEST));
const LOAD = {kind: 'load', versionDigest: VERSION, manifest: MANIFEST};
const UNLOAD = {kind: 'unload', versionDigest: VERSION};

let engine: StandIn;

beforeEach(async () => {
  engine = await startEngine({
    listen: '127.0.0.1:0',
    loadTime: 0,
    tokenTime: 0,
    firstTokenTime: 0,
    slots: 2,
    queueLimit: 1,
  });
});
afterEach(() => engine.close());

function order(body: unknown, fencing: number): Promise<Answer> {
  return send('POST', `${engine.address}/orders`, {order: body, fencing});
}

function putChunk(content: Buffer): Promise<Answer> {
  return send('PUT', `${engine.address}/chunks/${CHUNK_DIGEST}`, content);
}

async function loadVersion(): Promise<void> {
  await putChunk(CHUNK);
  expect((await order(LOAD, 1)).status).toBe(200);
  await expect
    .poll(() => sendJson('GET', `${engine.address}/report`))
    .toMatchObject({loaded: [{model: 'notes', versionDigest: VERSION}]});
}

function generate(attempt: string, maximumTokens = 6): Promise<Answer> {
  const prompt = `prompt of ${attempt}`;
  const body = {attempt, model: 'notes', prompt, maximumTokens, priority: 1};
  return send('POST', `${engine.address}/generate`, body);
}

function setFaults(settings: unknown): Promise<Answer> {
  return send('POST', `${engine.address}/faults`, settings);
}

function parseLines(answer: Answer): readonly AnswerLine[] {
  const lines = answer.text.split('\n').filter(line => line !== '');
  return lines.map(line => JSON.parse(line) as AnswerLine);
}

function textOf(answer: Answer): string {
  return parseLines(answer)
    .map(line => (line.kind === 'token' ? line.text : ''))
    .join('');
}

function expectedText(attempt: string, count = 6): string {
  const prompt = `prompt of ${attempt}`;
  return answerText({versionDigest: VERSION, prompt}, count);
}

it('streams an answer that depends on version and prompt alone', async () => {
  await loadVersion();
  const answer = await generate('a');
  const lines = parseLines(answer);
  const common = {attempt: 'a', versionDigest: VERSION};
  expect(lines[0]).toEqual({...common, kind: 'started'});
  expect(lines.at(-1)).toEqual({...common, kind: 'end', count: 6});
  expect(textOf(answer)).toBe(expectedText('a'));
  expect(expectedText('a')).not.toBe(expectedText('b'));
});

it('resumes a cut stream without running it again', async () => {
  // The link is cut halfway while the engine continues. The agent requests the
  // rest by attempt, and the caller must receive each token once.
  await loadVersion();
  await setFaults({dropNext: 1, tokenTime: 2});
  await expect(generate('a')).rejects.toThrow();
  const rest = await send('GET', `${engine.address}/generate/a?from=3`);
  const sequences = parseLines(rest).flatMap(line =>
    line.kind === 'token' ? [line.sequence] : [],
  );
  expect(sequences).toEqual([3, 4, 5]);
  expect(expectedText('a').endsWith(textOf(rest))).toBe(true);
  const runs = await sendJson('GET', `${engine.address}/runs`);
  expect(runs).toEqual({runs: {a: 1}});
});

it('swaps the answers of a pair', async () => {
  await loadVersion();
  await setFaults({crossNext: 1});
  const answers = await Promise.all([generate('a'), generate('b')]);
  expect(answers.map(answer => parseLines(answer)[0]?.attempt)).toEqual([
    'b',
    'a',
  ]);
  expect(answers.map(textOf)).toEqual([expectedText('b'), expectedText('a')]);
});

it('ends a cancelled stream without an end line', async () => {
  await loadVersion();
  await setFaults({tokenTime: 1});
  const answer = generate('a', 100_000);
  const url = `${engine.address}/generate/a`;
  await expect.poll(async () => (await send('DELETE', url)).status).toBe(200);
  expect(parseLines(await answer).some(line => line.kind === 'end')).toBe(
    false,
  );
});

it('refuses what it has not loaded and what its queue cannot hold', async () => {
  expect((await generate('early')).status).toBe(404);
  await loadVersion();
  await setFaults({tokenTime: 1});
  const running = ['a', 'b', 'c'].map(attempt => generate(attempt, 100_000));
  const load = () => sendJson('GET', `${engine.address}/report`);
  await expect.poll(load).toMatchObject({running: 2, queued: 1});
  expect((await generate('d')).status).toBe(429);
  for (const attempt of ['c', 'a', 'b']) {
    await send('DELETE', `${engine.address}/generate/${attempt}`);
  }
  await Promise.all(running);
  const runs = await sendJson('GET', `${engine.address}/runs`);
  expect(runs).toEqual({runs: {a: 1, b: 1}});
});

it('refuses an order whose fencing number is old, if it checks', async () => {
  // An agent was paused until its lease ran out, and still believes that it
  // owns the engine. The engine knows the newer owner's number; without the
  // check, the old unload order would leave callers without a model.
  await loadVersion();
  expect((await order(LOAD, 5)).status).toBe(200);
  const stale = await order(UNLOAD, 4);
  expect(stale.status).toBe(409);
  expect(JSON.parse(stale.text)).toMatchObject({
    error: 'staleFencing',
    highest: 5,
  });
  await setFaults({fencing: 'ignored'});
  expect((await order(UNLOAD, 4)).status).toBe(200);
  expect((await generate('a')).status).toBe(404);
});

it('loads no version with a chunk that is missing or corrupted', async () => {
  // A bad link flips a bit of a chunk before the load is ordered. Without the
  // check, answers would come from weights that were never released.
  const missing = {error: 'incomplete', missing: [CHUNK_DIGEST]};
  const absent = await order(LOAD, 1);
  expect(absent.status).toBe(422);
  expect(JSON.parse(absent.text)).toMatchObject(missing);
  await putChunk(Buffer.from('The weights'));
  const corrupted = await order(LOAD, 1);
  expect(corrupted.status).toBe(422);
  expect(JSON.parse(corrupted.text)).toMatchObject(missing);
  await loadVersion();
  const other = {...LOAD, manifest: {...MANIFEST, label: '2'}};
  await order(UNLOAD, 1);
  expect((await order(other, 1)).status).toBe(422);
});

it('finishes a running answer after its version is unloaded', async () => {
  await loadVersion();
  await setFaults({tokenTime: 2});
  const answer = generate('a', 20);
  const load = () => sendJson('GET', `${engine.address}/report`);
  await expect.poll(load).toMatchObject({running: 1});
  await order(UNLOAD, 1);
  expect(textOf(await answer)).toBe(expectedText('a', 20));
});

it('answers nothing while frozen, and resumes after', async () => {
  await loadVersion();
  await setFaults({frozen: true});
  let answered = false;
  const answer = generate('a').then(value => {
    answered = true;
    return value;
  });
  // Control routes still answer. A correct engine passes however long this
  // takes; the rounds give a faulty one time to answer.
  for (let round = 0; round < 20; round += 1) {
    const runs = await sendJson('GET', `${engine.address}/runs`);
    expect(runs).toEqual({runs: {}});
  }
  expect(answered).toBe(false);
  await setFaults({frozen: false});
  expect(textOf(await answer)).toBe(expectedText('a'));
});
