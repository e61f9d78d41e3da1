import * as fc from 'fast-check';

/** Text that is valid in a header. */
export const printable = fc.string({unit: 'grapheme-ascii', maxLength: 60});

/** Names of properties that every JavaScript object has, and other text. */
export const oddName = fc.oneof(
  fc.constantFrom('__proto__', 'constructor', 'toString', 'valueOf', '..'),
  fc.string({minLength: 1, maxLength: 40}),
  fc.string({unit: 'binary', minLength: 1, maxLength: 20}),
);

/** Encodes a name as a path segment. */
export function encoded(name: string): string {
  // A lone surrogate has no UTF-8 encoding, so no client could send it.
  return encodeURIComponent(Buffer.from(name).toString());
}

/** Bodies that are invalid generate requests. */
export const wrongGenerate = fc.oneof(
  fc.jsonValue().filter(value => !isObjectWithPrompt(value)),
  fc.record({prompt: fc.constantFrom('', 5, null, [], {})}),
  fc.record({
    prompt: fc.constant('p'),
    maximumTokens: fc.constantFrom(0, -1, 1.5, 1e9, '5', null),
  }),
  fc.record({
    prompt: fc.constant('p'),
    deadline: fc.constantFrom('5', '0s', '-1s', '1 s', 5, '9999999999s', 's'),
  }),
  fc.record({prompt: fc.constant('p'), more: fc.jsonValue()}),
);

function isObjectWithPrompt(value: unknown): boolean {
  return typeof value === 'object' && value !== null && 'prompt' in value;
}
