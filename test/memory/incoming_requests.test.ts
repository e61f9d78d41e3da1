import {
  isTooFragmented,
  selectConnectionToClose,
  selectRequestsToRefuse,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

const MEGABYTE = 1_000_000;
const BOUND = 10 * MEGABYTE;

const requests = fc.array(
  fc.record({
    held: fc.nat(200_000),
    isArriving: fc.boolean(),
    stalledFor: fc.nat(2_000),
  }),
  {maxLength: 50},
);

const sumOf = (some: readonly {readonly held: number}[]): number =>
  some.reduce((sum, {held}) => sum + held, 0);

/** Requests that arrive with this much, without a stall. */
const arriving = (...sizes: readonly number[]) =>
  sizes.map(held => ({held, isArriving: true, stalledFor: 0}));

test('requests that are left exceed the bound only if all of them are complete', () => {
  fc.assert(
    fc.property(requests, fc.nat(5 * MEGABYTE), (all, bound) => {
      const refused = selectRequestsToRefuse(all, bound);
      const left = all.filter(request => !refused.includes(request));
      const isReached = sumOf(left) <= bound;
      expect(isReached || left.every(({isArriving}) => !isArriving)).toBe(true);
    }),
    propertyRuns,
  );
});

test('a complete request is never refused', () => {
  fc.assert(
    fc.property(requests, fc.nat(5 * MEGABYTE), (all, bound) => {
      const refused = selectRequestsToRefuse(all, bound);
      expect(refused.every(({isArriving}) => isArriving)).toBe(true);
    }),
    propertyRuns,
  );
});

test('the request that has stalled for longest is refused first, then the largest', () => {
  const [largest, large, stalled, slow] = [
    {held: 5 * MEGABYTE, isArriving: true, stalledFor: 0},
    {held: 4 * MEGABYTE, isArriving: true, stalledFor: 100},
    {held: 3 * MEGABYTE, isArriving: true, stalledFor: 5_000},
    {held: 3 * MEGABYTE, isArriving: true, stalledFor: 1_000},
  ] as const;
  expect(
    selectRequestsToRefuse([largest, large, stalled, slow], BOUND),
  ).toEqual([stalled, slow, largest]);
});

test('a small request gets in beside large ones that run', () => {
  const running = {held: 7 * MEGABYTE, isArriving: false, stalledFor: 0};
  const small = arriving(50_000);
  const large = arriving(MEGABYTE);
  const all = [running, ...small, ...large];
  expect(selectRequestsToRefuse(all, BOUND)).toEqual(large);
});

test('a body of the largest legal size gets in beside ordinary requests', () => {
  const all = arriving(4_194_304, ...Array<number>(20).fill(40_000));
  expect(selectRequestsToRefuse(all, BOUND)).toEqual([]);
});

test('a body in fragments is refused only beside others that take up the time', () => {
  const many = 1_000_000;
  expect(isTooFragmented({ofThisBody: many, ofOthers: 1_000})).toBe(false);
  expect(isTooFragmented({ofThisBody: 1_000, ofOthers: many})).toBe(true);
  expect(isTooFragmented({ofThisBody: 64, ofOthers: many})).toBe(false);
});

test.each([
  [{unused: 5_000, refused: 900, idle: 9_000}, 'unused'],
  [{unused: 10, refused: 900, idle: 9_000}, 'refused'],
  [{unused: 10, refused: undefined, idle: 9_000}, 'idle'],
  [{unused: 10, refused: undefined, idle: undefined}, 'unused'],
  [{unused: undefined, refused: undefined, idle: undefined}, 'none'],
] as const)('of connections that wait %o, %s is closed', (waiting, kind) => {
  expect(selectConnectionToClose(waiting)).toBe(kind);
});
