import type {ForwardAttemptEnd, AttemptReport} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
  createAttemptsInFlight,
  type AttemptInFlight,
} from '../../packages/fleet/src/entry/attempts_in_flight';
import {propertyRuns} from '../forwarding/property_runs';

const SILENT = {
  kind: 'silent',
  streamBegun: false,
  lastEventId: undefined,
} as const;
const LOST: ForwardAttemptEnd = {kind: 'unknown', cause: 'connectionLost'};
const FAILURE: ForwardAttemptEnd = {kind: 'answered', success: false};
const SUCCESS: ForwardAttemptEnd = {kind: 'answered', success: true};

function setStream(
  attempt: AttemptInFlight,
  name: string,
  seen: string[],
): void {
  attempt.setStream({
    hold: () => seen.push(`${name} held`),
    release: () => seen.push(`${name} released`),
  });
}

test('a report states how many attempts have not reported their end, and how many are silent', async () => {
  const pool = createAttemptsInFlight();
  const [one, two] = [pool.begin(), pool.begin()];
  one.report(SILENT);
  two.end(LOST);
  one.end(FAILURE);
  const reports = [await pool.next(), await pool.next(), await pool.next()];
  expect(reports).toEqual([
    {kind: 'sent', outcome: SILENT, attemptsInFlight: 2, silent: 0},
    {kind: 'sent', outcome: LOST, attemptsInFlight: 1, silent: 0},
    {kind: 'sent', outcome: FAILURE, attemptsInFlight: 0, silent: 0},
  ]);
});

test('reports of other attempts are ignored once an attempt has won', async () => {
  const pool = createAttemptsInFlight();
  const [one, two] = [pool.begin(), pool.begin()];
  one.report(SILENT);
  two.win();
  expect(one.signal.aborted).toBe(true);
  expect(two.signal.aborted).toBe(false);
  one.end(LOST);
  two.end({kind: 'streamed'});
  expect(await pool.next()).toMatchObject({outcome: {kind: 'streamed'}});
  expect(pool.hasReport()).toBe(false);
});

test('a stream that resumes is held while another attempt is to take it over', () => {
  const seen: string[] = [];
  const pool = createAttemptsInFlight();
  setStream(pool.begin(), 'first', seen);
  const second = pool.begin();
  second.end(LOST);
  expect(seen).toEqual(['first held', 'first released']);
});

test('a stream is held only until the other attempt is silent', () => {
  const seen: string[] = [];
  const pool = createAttemptsInFlight();
  setStream(pool.begin(), 'first', seen);
  pool.begin().report(SILENT);
  expect(seen).toEqual(['first held', 'first released']);
});

test('a silent stream is not held', () => {
  const seen: string[] = [];
  const pool = createAttemptsInFlight();
  const first = pool.begin();
  setStream(first, 'first', seen);
  first.report(SILENT);
  pool.begin();
  expect(seen).toEqual([]);
});

test('an error in this process rejects the next report of the request', async () => {
  const pool = createAttemptsInFlight();
  const next = pool.next();
  pool.fail(new Error('broken here'));
  await expect(next).rejects.toThrow('broken here');
});

test('in any order of ends, at most one answer is for the caller, and it is the last report', async () => {
  const ends = fc.array(fc.constantFrom(LOST, FAILURE, SUCCESS), {
    minLength: 1,
    maxLength: 4,
  });
  await fc.assert(
    fc.asyncProperty(ends, fc.infiniteStream(fc.nat()), async (ends, picks) => {
      const reports = await endAttempts(ends, picks);
      const successes = reports.filter(({outcome}) => outcome === SUCCESS);
      expect(successes).toHaveLength(ends.includes(SUCCESS) ? 1 : 0);
      const isLast = ({attemptsInFlight}: AttemptReport) =>
        attemptsInFlight === 0;
      expect(reports.map(isLast).lastIndexOf(false)).toBe(reports.length - 2);
      expect(reports.at(-1)?.attemptsInFlight).toBe(0);
    }),
    propertyRuns,
  );
});

/** Ends attempts in the picked order and takes some reports in between. */
async function endAttempts(
  ends: readonly ForwardAttemptEnd[],
  picks: Iterator<number>,
): Promise<readonly AttemptReport[]> {
  const pool = createAttemptsInFlight();
  const left = ends.map(end => ({end, send: pool.begin()}));
  const reports: AttemptReport[] = [];
  const pick = (): number => Number(picks.next().value);
  while (left.length > 0) {
    const [{end, send}] = left.splice(pick() % left.length, 1) as [
      (typeof left)[number],
    ];
    if (!send.signal.aborted) send.end(end);
    if (pick() % 2 === 0 && pool.hasReport()) reports.push(await pool.next());
  }
  while (pool.hasReport()) reports.push(await pool.next());
  return reports;
}
