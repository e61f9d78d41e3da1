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

function streamOf(send: AttemptInFlight, name: string, seen: string[]): void {
  send.setStream({
    hold: () => seen.push(`${name} held`),
    release: () => seen.push(`${name} released`),
  });
}

test('a report says how many sends have not reported their end, and how many are silent', async () => {
  const sends = createAttemptsInFlight();
  const [one, two] = [sends.begin(), sends.begin()];
  one.report(SILENT);
  two.end(LOST);
  one.end(FAILURE);
  const reports = [await sends.next(), await sends.next(), await sends.next()];
  expect(reports).toEqual([
    {kind: 'sent', outcome: SILENT, attemptsInFlight: 2, silent: 0},
    {kind: 'sent', outcome: LOST, attemptsInFlight: 1, silent: 0},
    {kind: 'sent', outcome: FAILURE, attemptsInFlight: 0, silent: 0},
  ]);
});

test('what the others have reported counts no more once a send has won', async () => {
  const sends = createAttemptsInFlight();
  const [one, two] = [sends.begin(), sends.begin()];
  one.report(SILENT);
  two.win();
  expect(one.signal.aborted).toBe(true);
  expect(two.signal.aborted).toBe(false);
  one.end(LOST);
  two.end({kind: 'streamed'});
  expect(await sends.next()).toMatchObject({outcome: {kind: 'streamed'}});
  expect(sends.hasReport()).toBe(false);
});

test('a stream that goes on is held while another send is to take it over', () => {
  const seen: string[] = [];
  const sends = createAttemptsInFlight();
  streamOf(sends.begin(), 'first', seen);
  const second = sends.begin();
  second.end(LOST);
  expect(seen).toEqual(['first held', 'first released']);
});

test('a stream is held no longer than until the other send is silent', () => {
  const seen: string[] = [];
  const sends = createAttemptsInFlight();
  streamOf(sends.begin(), 'first', seen);
  sends.begin().report(SILENT);
  expect(seen).toEqual(['first held', 'first released']);
});

test('a silent stream is not held', () => {
  const seen: string[] = [];
  const sends = createAttemptsInFlight();
  const first = sends.begin();
  streamOf(first, 'first', seen);
  first.report(SILENT);
  sends.begin();
  expect(seen).toEqual([]);
});

test('an error in this process reaches the request', async () => {
  const sends = createAttemptsInFlight();
  const next = sends.next();
  sends.fail(new Error('broken here'));
  await expect(next).rejects.toThrow('broken here');
});

test('in any order of ends, one answer at most is for the caller, and it is the last report', async () => {
  const ends = fc.array(fc.constantFrom(LOST, FAILURE, SUCCESS), {
    minLength: 1,
    maxLength: 4,
  });
  await fc.assert(
    fc.asyncProperty(ends, fc.infiniteStream(fc.nat()), async (ends, picks) => {
      const reports = await playEnds(ends, picks);
      const successes = reports.filter(({outcome}) => outcome === SUCCESS);
      expect(successes).toHaveLength(ends.includes(SUCCESS) ? 1 : 0);
      const isLast = ({attemptsInFlight: underWay}: AttemptReport) =>
        underWay === 0;
      expect(reports.map(isLast).lastIndexOf(false)).toBe(reports.length - 2);
      expect(reports.at(-1)?.attemptsInFlight).toBe(0);
    }),
    propertyRuns,
  );
});

/** Ends sends in an order of choice, while reports are taken now and then. */
async function playEnds(
  ends: readonly ForwardAttemptEnd[],
  picks: Iterator<number>,
): Promise<readonly AttemptReport[]> {
  const sends = createAttemptsInFlight();
  const left = ends.map(end => ({end, send: sends.begin()}));
  const reports: AttemptReport[] = [];
  const pick = (): number => Number(picks.next().value);
  while (left.length > 0) {
    const [{end, send}] = left.splice(pick() % left.length, 1) as [
      (typeof left)[number],
    ];
    if (!send.signal.aborted) send.end(end);
    if (pick() % 2 === 0 && sends.hasReport()) reports.push(await sends.next());
  }
  while (sends.hasReport()) reports.push(await sends.next());
  return reports;
}
