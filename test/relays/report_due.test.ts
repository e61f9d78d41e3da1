import {
  createStaleReportFilter,
  isReportDue,
  reportChange,
  type ReportedState,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';

const IDLE: ReportedState = {
  held: [{model: 'model', version: 1}],
  ordering: false,
  running: 0,
  waiting: 0,
  pace: 1,
  memoryShare: 0.5,
  loadsAt: 1_000,
  born: 7,
};

const isDue = (
  getsAll: boolean,
  changes: Partial<ReportedState>,
  since = 0,
  before: ReportedState | undefined = IDLE,
) => isReportDue({getsAll, before, next: {...IDLE, ...changes}, since});

test.each<Partial<ReportedState>>([
  {ordering: true},
  {held: []},
  {held: [{model: 'model', version: 2}]},
  {born: 8},
])(
  'a change in what an engine serves is sent to both receivers at once (%j)',
  changes => {
    expect(reportChange(IDLE, {...IDLE, ...changes})).toBe('state');
    expect([isDue(true, changes), isDue(false, changes)]).toEqual([true, true]);
  },
);

test.each<Partial<ReportedState>>([
  {running: 1},
  {waiting: 1},
  {pace: 1.06},
  {memoryShare: 0.56},
  {memoryShare: undefined},
  {loadsAt: 1_061},
  {loadsAt: undefined},
])('a change of the load is sent to the first receiver only (%j)', changes => {
  expect(reportChange(IDLE, {...IDLE, ...changes})).toBe('load');
  expect([isDue(true, changes), isDue(false, changes)]).toEqual([true, false]);
});

test.each<Partial<ReportedState>>([
  {},
  {pace: 1.04},
  {memoryShare: 0.54},
  {loadsAt: 1_060},
])(
  'an insignificant change is sent with the next heartbeat only (%j)',
  changes => {
    expect(isDue(true, changes, 490)).toBe(false);
    expect(isDue(true, changes, 500)).toBe(true);
    expect(isDue(false, changes, 500)).toBe(true);
  },
);

// One request ended and one began between two polls. An entry that has used its
// part of the free slots waits for the next report.
test('a report of an engine that runs the same is repeated after 200 ms', () => {
  const before = {...IDLE, running: 3};
  expect(isDue(true, before, 190, before)).toBe(false);
  expect(isDue(true, before, 200, before)).toBe(true);
  expect(isDue(false, before, 200, before)).toBe(false);
});

test('a receiver without a previous report gets a whole one', () => {
  const next = IDLE;
  expect(isReportDue({getsAll: false, before: undefined, next, since: 0})).toBe(
    true,
  );
});

test('the older of two reports from different relays is dropped', () => {
  const order = createStaleReportFilter();
  expect(order.accepts('one', 5, 0)).toBe(true);
  expect(order.accepts('one', 5, 10)).toBe(false);
  expect(order.accepts('one', 4, 10)).toBe(false);
  expect(order.accepts('other', 4, 10)).toBe(true);
  expect(order.accepts('one', 6, 20)).toBe(true);
});

test('a restarted agent with a lower sequence is accepted after 2 s', () => {
  const order = createStaleReportFilter();
  order.accepts('one', 500, 0);
  expect(order.accepts('one', 1, 1_999)).toBe(false);
  expect(order.accepts('one', 1, 2_000)).toBe(true);
});
