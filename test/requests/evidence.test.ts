import {
  claimKey,
  createAtMostOnceFlow,
  createAttemptSource,
  createOwnAttempt,
  DEFAULT_AT_MOST_ONCE_LIMITS,
  readClaim,
  evidenceOfTombstone,
  writeClaim,
  type AttemptEvent,
  type RequestReply,
} from '@hibiscusbeam/core';
import {readdirSync, readFileSync} from 'node:fs';
import * as fc from 'fast-check';
import {Ok} from 'ts-results';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {bytesOf, createSha256Digester, digestOf} from './sha256_digester';

const terms = {until: 1, deadline: 1, versionDigest: undefined};
const destination = {target: 'target', instance: 'agent', incarnation: 4};
const address = {attempt: 'entry#1', ...destination};

function refusal(attempt: string, incarnation: number) {
  const reason = 'queueFull' as const;
  return {
    kind: 'refused',
    attempt,
    incarnation,
    reason,
    retryAfter: 1,
  } as const;
}

describe('evidence that an attempt did not run', () => {
  test('exists for an attempt that was never dispatched and no longer can be', () => {
    const own = createOwnAttempt('entry#1');
    expect(own.disown()).toMatchObject({kind: 'neverDispatched'});
    expect(() => own.dispatch(destination, terms)).toThrow('disowned');
  });

  test('does not exist after disowning a dispatched attempt, which is dispatched only once', () => {
    const own = createOwnAttempt('entry#1');
    own.dispatch(destination, terms);
    expect(own.disown()).toBeUndefined();
    expect(() => own.dispatch(destination, terms)).toThrow('dispatched');
  });

  test('exists for a refusal only by the addressed incarnation and for this attempt', () => {
    const own = createOwnAttempt('entry#1');
    expect(own.refused(refusal('entry#1', 4))).toBeUndefined();
    own.dispatch(destination, terms);
    expect(own.refused(refusal('entry#1', 5))).toBeUndefined();
    expect(own.refused(refusal('entry#2', 4))).toBeUndefined();
    expect(own.refused(refusal('entry#1', 4))).toBeDefined();
  });

  test('exists for a tombstone only of the addressed incarnation and for this attempt', () => {
    const answer = {
      attempt: 'entry#1',
      incarnation: 4,
      state: 'tombstoned',
    } as const;
    expect(evidenceOfTombstone(address, answer)).toBeDefined();
    expect(
      evidenceOfTombstone(address, {...answer, incarnation: 5}),
    ).toBeUndefined();
    expect(
      evidenceOfTombstone(address, {...answer, attempt: 'entry#2'}),
    ).toBeUndefined();
    expect(
      evidenceOfTombstone(address, {...answer, state: 'started'}),
    ).toBeUndefined();
  });

  test('is created in one file only', () => {
    const files = readdirSync('packages', {
      recursive: true,
      encoding: 'utf8',
    }).filter(file => file.endsWith('.ts') && !file.includes('node_modules'));
    const builders = files.filter(file =>
      readFileSync(`packages/${file}`, 'utf8').includes('as NotRunEvidence'),
    );
    expect(builders).toEqual(['core/src/requests/evidence.ts']);
  });
});

describe('a claim row', () => {
  test('decodes to what was encoded', () => {
    const text = fc.string();
    const fields = {fingerprint: text, attempt: text};
    const body = fc.oneof(
      fc.record({kind: fc.constant('inline' as const), base64: text}),
      fc.record({
        kind: fc.constant('object' as const),
        key: text,
        digest: text,
      }),
    );
    const rows = fc.oneof(
      fc.record({...fields, kind: fc.constant('released' as const)}),
      fc.record({
        ...fields,
        kind: fc.constant('outcomeUnknown' as const),
        detail: text,
      }),
      fc.record({
        ...fields,
        kind: fc.constant('answered' as const),
        versionDigest: fc.option(text, {nil: undefined}),
        digest: text,
        body,
      }),
      fc.record({
        fingerprint: text,
        kind: fc.constant('claimed' as const),
        address: fc.record({
          attempt: text,
          target: text,
          instance: text,
          incarnation: fc.nat(),
        }),
        entry: text,
      }),
    );
    fc.assert(
      fc.property(rows, row => {
        expect(readClaim(writeClaim(row)).val).toEqual(row);
      }),
      propertySettings(300),
    );
  });

  test('has one key per workspace and idempotency key', () => {
    expect(claimKey('a/b', 'c')).not.toBe(claimKey('a', 'b/c'));
  });
});

/** Runs a call against one target with the given events. */
function runCall(
  events: (now: number) => AttemptEvent,
  objectContent?: Uint8Array,
  row?: Parameters<typeof writeClaim>[0],
  commitTime = 0,
) {
  let now = 0;
  const flow = createAtMostOnceFlow({
    key: 'claims/w/k',
    fingerprint: 'body',
    entry: 'entry',
    deadline: 1000,
    now: () => now,
    createAttempt: createAttemptSource('entry'),
    createDigester: createSha256Digester,
    limits: DEFAULT_AT_MOST_ONCE_LIMITS,
  });
  const existingRow = row && {
    key: 'claims/w/k',
    version: 3,
    value: writeClaim(row),
  };
  function replyTo(kind: string): RequestReply {
    switch (kind) {
      case 'chooseTarget':
        return {kind: 'choice', choice: {kind: 'target', ...destination}};
      case 'commit': {
        now += commitTime;
        const failed = [{key: 'claims/w/k', row: existingRow}];
        const result = Ok(
          existingRow
            ? ({kind: 'conditionFailed', failed} as const)
            : ({kind: 'committed'} as const),
        );
        return {kind: 'commit', result};
      }
      case 'readRow':
        return {kind: 'row', result: Ok(undefined)};
      case 'tombstone':
        return {kind: 'tombstone', answer: undefined};
      case 'getObject':
        return {kind: 'object', result: Ok(objectContent!)};
      case 'wait':
        now += 100;
        return {kind: 'done'};
      default:
        return {kind: 'event', event: events(now)};
    }
  }
  const effects: string[] = [];
  let step = flow.next();
  while (!step.done && now < 5000) {
    now += 10;
    effects.push(step.value.kind);
    step = flow.next(replyTo(step.value.kind));
  }
  const outcome = step.done ? step.value.outcome.kind : 'none';
  return {outcome, now, effects};
}

// A frozen target takes the call and sends nothing. Without the deadline the
// caller would wait forever.
test('a call whose target is frozen ends at its deadline', () => {
  const cut = runCall(() => ({kind: 'cut', detail: ''}));
  expect(cut).toMatchObject({outcome: 'outcomeUnknown'});
  expect(cut.now).toBeLessThan(1200);
});

// An entry is paused between its claim and its dispatch. When it resumes, the
// caller has given up, so the call must not start. The key is freed for the
// next retry.
test('a call that was paused past its deadline dispatches nothing', () => {
  const paused = runCall(
    () => ({kind: 'timedOut'}),
    undefined,
    undefined,
    2000,
  );
  expect(paused.outcome).toBe('notRun');
  expect(paused.effects).toEqual(['chooseTarget', 'commit', 'commit']);
});

// Frames of another call keep arriving on this call's stream. Without the
// deadline check the call would never end.
test('a call that receives only foreign frames ends at its deadline', () => {
  const foreign = {kind: 'failed', attempt: 'another#1', detail: ''} as const;
  const ended = runCall(() => foreign);
  expect(ended).toMatchObject({outcome: 'outcomeUnknown'});
  expect(ended.now).toBeLessThan(1200);
});

// A recorded answer was corrupted in the object store. Without the digest check
// a retry would get another answer than the first caller did.
test('a recorded answer whose bytes are corrupted is not returned', () => {
  const frames = [bytesOf('settled: 100')];
  const row = {
    kind: 'answered',
    fingerprint: 'body',
    attempt: 'entry#9',
    versionDigest: undefined,
    digest: digestOf(frames),
    body: {kind: 'object', key: 'answers/1', digest: 'd'},
  } as const;
  const encode = (text: string) =>
    Uint8Array.from([0, 0, 0, text.length, ...bytesOf(text)]);
  const none = () => ({kind: 'timedOut'}) as const;
  expect(runCall(none, encode('settled: 100'), row).outcome).toBe('answered');
  expect(runCall(none, encode('settled: 900'), row).outcome).toBe(
    'outcomeUnknown',
  );
});
