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
  'a malformed limit of %j is ignored',
  value => {
    expect(rateLimitIn('Server-Limit', value)).toBeUndefined();
  },
);

test('an answer without the header names no limit', () => {
  expect(rateLimitIn('Content-Length', '3')).toBeUndefined();
});

test.each([
  'server-leaving',
  'Server-Leaving',
  'X-Hibiscusbeam-Server-Leaving',
])('the header %s marks a target as leaving', name => {
  expect(requestProtocol.readAnswer(200, [name, '1']).leaving).toBe(true);
});

test.each(['', '0', 'no', '11', 'true'])(
  'the value %j does not mark a target as leaving',
  value => {
    const lines = ['Server-Leaving', value];
    expect(requestProtocol.readAnswer(200, lines).leaving).toBe(false);
  },
);

test('an answer without the header does not mark a target as leaving', () => {
  expect(requestProtocol.readAnswer(200, []).leaving).toBe(false);
});

test.each([
  ['3', 3_000],
  ['0.5', 500],
  ['0', 0],
])(
  'a refusal with Retry-After %j asks to back off for %d ms',
  (value, backoff) => {
    const {backoff: asked} = requestProtocol.readAnswer(503, [
      'Retry-After',
      value,
    ]);
    expect(asked).toBe(backoff);
  },
);

test.each(['', 'soon', '-1', '1e3', 'Wed, 21 Oct 2026 07:28:00 GMT'])(
  'an unsupported Retry-After of %j asks for no backoff',
  value => {
    const header = requestProtocol.readAnswer(503, ['Retry-After', value]);
    expect(header.backoff).toBeUndefined();
  },
);

test('Retry-After of a successful answer asks for no backoff', () => {
  const header = requestProtocol.readAnswer(200, ['Retry-After', '3']);
  expect(header.backoff).toBeUndefined();
});

test.each([
  ['5c1e07a2:800,91BD3F06:410', ['5c1e07a2', '91bd3f06']],
  [' 5c1e07a2:800 , ,91bd3f06', ['5c1e07a2', '91bd3f06']],
  ['', []],
])('the parts of the prompt %j are read as %j', (value, parts) => {
  const lines = ['X-Hibiscusbeam-Prompt-Prefix', value];
  expect(requestProtocol.readCaller(lines).promptParts).toEqual(parts);
});

test('only the first 32 parts of a prompt are read', () => {
  const value = Array.from({length: 40}, (_, index) => `${index}:1`).join(',');
  const lines = ['X-Hibiscusbeam-Prompt-Prefix', value];
  expect(requestProtocol.readCaller(lines).promptParts).toHaveLength(32);
});
