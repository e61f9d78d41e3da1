import {readFileSync} from 'node:fs';
import {parse} from 'yaml';
import {expect, test} from 'vitest';
import {makeDays, type Pair} from '../../bench/days/make_days';

const base = {
  name: 'quiet',
  seed: 1,
  traffic: ['all'],
  plan: [
    {kind: 'scale_out', at: 5},
    {kind: 'version_bump', at: 20},
  ],
  faults: [{kind: 'core_cut', at: 21}],
};

const troubles = [
  {kind: 'revoke', count: 2},
  {kind: 'node_freeze', for_s: 4},
];

test('each trouble alone keeps the traffic and the growth, nothing else', () => {
  const days = makeDays('alone', base, troubles, []);
  expect(days.map(({name}) => name)).toEqual([
    'alone-0-revoke',
    'alone-1-node_freeze',
  ]);
  expect(days[0]).toMatchObject({traffic: ['all'], faults: []});
  expect(days[0]!['plan']).toEqual([
    {kind: 'scale_out', at: 5},
    {kind: 'revoke', count: 2, at: 14},
  ]);
  expect(days[1]!['faults']).toEqual([{kind: 'node_freeze', for_s: 4, at: 14}]);
});

test('twice means that a trouble comes again later', () => {
  const [day] = makeDays('twice', base, troubles, []);
  expect(day!['plan']).toHaveLength(3);
});

test('the listed pairs have names of their own', () => {
  const pairs = parse(readFileSync('bench/days/pairs.yaml', 'utf8')) as Pair[];
  expect(new Set(pairs.map(({name}) => name)).size).toBe(pairs.length);
});
