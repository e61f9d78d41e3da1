import {withoutReplacedTargets, type ListedTarget} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {plainTarget} from '../fixtures/placement';

const row = (
  instance: string,
  revision: number,
  changes: Partial<ListedTarget> = {},
) => ({
  revision,
  target: plainTarget(instance, {address: '10.1.0.20:8406', ...changes}),
});

// Half of the requests after a loss of power went to incarnations that had ended.
test('of two targets of a service with one address, the one whose row was written last is listed', () => {
  const targets = withoutReplacedTargets([
    row('ended', 4),
    row('running', 7),
    row('older', 2),
    row('elsewhere', 1, {address: '10.1.0.21:8406'}),
    row('stray', 9, {service: 'other'}),
  ]);
  expect(targets.map(({instance}) => instance)).toEqual([
    'running',
    'elsewhere',
    'stray',
  ]);
});
