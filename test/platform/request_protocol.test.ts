import {expect, test} from 'vitest';
import {requestProtocol} from '../../platform/request_protocol';

function rateLimitIn(...lines: readonly string[]): number | undefined {
  return requestProtocol.readAnswer(200, lines).rateLimit;
}

test.each([
  ['1', 1],
  ['2.5', 2.5],
  ['0', 0],
  [' 12 ', 12],
])('a limit of %j is read as %d a second', (value, rate) => {
  expect(rateLimitIn('Server-Limit', value)).toBe(rate);
  expect(rateLimitIn('x-hibiscusbeam-server-limit', value)).toBe(rate);
});

test.each(['', 'many', '-1', '1e3', '0x10', 'NaN'])(
  'a limit of %j is none',
  value => {
    expect(rateLimitIn('Server-Limit', value)).toBeUndefined();
  },
);

test('an answer without the line names no limit', () => {
  expect(rateLimitIn('Content-Length', '3')).toBeUndefined();
});
