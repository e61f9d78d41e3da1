import {createCallerClient} from '@hibiscusbeam/daemon';
import {describe, expect, onTestFinished, test} from 'vitest';
import {startFakeEntries, completeAnswer, type EntryScript} from './fake_entry';

const GENERATE_CALL = {
  model: 'repair-notes',
  prompt: 'fault 12',
  maximumTokens: 8,
  deadline: 10_000,
};
const CHARGE_CALL = {
  service: 'invoicing',
  operation: 'charge',
  body: {reference: 'r1'},
  deadline: 10_000,
};
const DROPPED_CONNECTION: EntryScript = {kind: 'cut', lines: []};
const completeLines = completeAnswer(['blade ', 'worn']);

function notRun(reason: string, retryAfterMilliseconds: number): EntryScript {
  const status = reason === 'inProgress' || reason === 'keyReused' ? 409 : 503;
  const body = {outcome: 'notRun', reason, retryAfterMilliseconds};
  return {kind: 'reply', status, body};
}

const CHARGED_REPLY: EntryScript = {
  kind: 'reply',
  status: 200,
  body: {charged: 1},
};

/** Starts scripted entries and a client on a manual clock. */
async function setUp(
  script: readonly EntryScript[],
  zones: readonly string[] = ['far', 'near', 'far'],
) {
  const entries = await startFakeEntries(zones, script);
  const waits: number[] = [];
  let now = 0;
  const client = createCallerClient({
    entries: ['127.0.0.1:1', ...entries.addresses],
    workspaceKey: 'key',
    zone: 'near',
    now: () => now,
    random: () => 0,
    wait: async duration => {
      waits.push(duration);
      now += duration;
    },
  });
  onTestFinished(async () => {
    await client.close();
    await entries.close();
  });
  return {client, entries, waits, advance: (time: number) => (now += time)};
}

describe('the choice of an entry', () => {
  test('prefers the own zone and lasts until the list expires', async () => {
    const {client, entries, advance} = await setUp([]);
    expect(await client.entry()).toBe(entries.addresses[1]);
    advance(999);
    await client.entry();
    expect(entries.listRequests()).toBe(1);
    advance(1);
    expect(await client.entry()).toBe(entries.addresses[1]);
    expect(entries.listRequests()).toBe(2);
  });

  test('reports a request as not run if no entry can be reached', async () => {
    const client = createCallerClient({
      entries: ['127.0.0.1:1'],
      workspaceKey: 'key',
      wait: async () => {},
    });
    onTestFinished(client.close);
    expect(await client.generate(GENERATE_CALL)).toMatchObject({
      kind: 'notRun',
      reason: 'unreachable',
    });
  });
});

// A stream can break half way or lose a token. The caller must not take the
// tokens it has received for the complete answer.
describe('a stream of tokens', () => {
  test('gives the complete answer after its end line', async () => {
    const {client} = await setUp([{kind: 'stream', lines: completeLines}]);
    expect(await client.generate(GENERATE_CALL)).toEqual({
      kind: 'answered',
      answer: {text: 'blade worn', versionDigest: 'sha256:v', tokenCount: 2},
    });
  });

  test.each<[string, readonly object[]]>([
    ['without its end line', completeLines.slice(0, -1)],
    ['with a token missing', completeLines.toSpliced(1, 1)],
    ['with the last token missing', completeLines.toSpliced(2, 1)],
    [
      'with a token changed',
      completeLines.toSpliced(1, 1, {
        kind: 'token',
        sequence: 0,
        text: 'shaft ',
      }),
    ],
    [
      'that ends with an outcome',
      [
        ...completeLines.slice(0, -1),
        {kind: 'outcome', outcome: 'outcomeUnknown', detail: 'x'},
      ],
    ],
  ])('%s gives no answer', async (_name, lines) => {
    const {client, entries} = await setUp([{kind: 'stream', lines}]);
    const shown: string[] = [];
    const onToken = (text: string) => void shown.push(text);
    const outcome = await client.generate({...GENERATE_CALL, onToken});
    expect(outcome.kind).toBe('outcomeUnknown');
    // The tokens shown may be truncated, but none is missing in between.
    const given = lines.flatMap(line => ('text' in line ? [line.text] : []));
    const hasHole = given[0] === 'worn';
    expect(shown).toEqual(hasHole ? [] : given);
    if (shown.length > 0) expect(entries.received).toHaveLength(1);
  });

  test('is requested from another entry if it ends before the first token', async () => {
    const {client, entries} = await setUp([
      DROPPED_CONNECTION,
      {kind: 'stream', lines: completeLines},
    ]);
    expect((await client.generate(GENERATE_CALL)).kind).toBe('answered');
    const [first, second] = entries.received;
    expect(first?.entry).not.toBe(second?.entry);
  });
});

// A charge is sent and the connection breaks before the answer, so it may have
// been booked. A retry as a new call would book it twice, and "not run" for the
// retry must not be reported as "not booked".
describe('a call of an operation that must run at most once', () => {
  test('is retried with the same key', async () => {
    const {client, entries} = await setUp([
      DROPPED_CONNECTION,
      notRun('inProgress', 70),
      CHARGED_REPLY,
    ]);
    const outcome = await client.call({...CHARGE_CALL, idempotencyKey: 'k1'});
    expect(outcome).toEqual({kind: 'answered', answer: {charged: 1}});
    expect(entries.received.map(({key}) => key)).toEqual(['k1', 'k1', 'k1']);
    expect(new Set(entries.received.map(({body}) => body)).size).toBe(1);
  });

  test('is sent once if it has no key and may have run', async () => {
    const {client, entries} = await setUp([DROPPED_CONNECTION, CHARGED_REPLY]);
    expect((await client.call(CHARGE_CALL)).kind).toBe('outcomeUnknown');
    expect(entries.received).toHaveLength(1);
  });

  test.each(['platformUnavailable', 'inProgress', 'keyReused'])(
    'is not reported as not run for %s after an attempt that may have run',
    async reason => {
      const refusals = Array.from({length: 9}, () => notRun(reason, 50));
      const {client} = await setUp([DROPPED_CONNECTION, ...refusals]);
      const outcome = await client.call({...CHARGE_CALL, idempotencyKey: 'k1'});
      expect(outcome.kind).toBe('outcomeUnknown');
    },
  );

  test('is retried after the requested delay, but not past its deadline', async () => {
    const {client, waits} = await setUp([
      notRun('queueFull', 3000),
      notRun('platformUnavailable', 8000),
    ]);
    expect(await client.call({...CHARGE_CALL, idempotencyKey: 'k1'})).toEqual({
      kind: 'notRun',
      reason: 'platformUnavailable',
      retryAfter: 8000,
    });
    expect(waits).toEqual([3000]);
  });

  test('is not retried if the request is invalid', async () => {
    const body = {error: 'badField', detail: 'x'};
    const {client, entries} = await setUp([{kind: 'reply', status: 400, body}]);
    expect((await client.call(CHARGE_CALL)).kind).toBe('rejected');
    expect(entries.received).toHaveLength(1);
  });
});
