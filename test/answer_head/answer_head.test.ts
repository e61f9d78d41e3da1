import {findAnswerHeadFault} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {validateHeaderName, validateHeaderValue} from 'node:http';
import {expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';

const SOUND = ['Content-Type', 'text/plain'];

const byteString = (minLength: number) =>
  fc
    .uint8Array({minLength, maxLength: 12})
    .map(bytes => Buffer.from(bytes).toString('latin1'));

const text = (minLength: number) =>
  fc.oneof(
    byteString(minLength),
    fc.string({minLength, maxLength: 12}),
    fc.stringMatching(/^[A-Za-z-]{1,12}$/),
  );

function isWritable(name: string, value: string): boolean {
  try {
    validateHeaderName(name);
    validateHeaderValue(name, value);
    return true;
  } catch {
    return false;
  }
}

// Guards against a head that is accepted and fails when it is passed on.
test('the fields of a head are sound exactly if they can be written', () => {
  fc.assert(
    fc.property(text(0), text(0), (name, value) => {
      const lines = [...SOUND, name, value];
      const isSound = findAnswerHeadFault({status: 200, lines}) === undefined;
      expect(isSound).toBe(isWritable(name, value));
    }),
    propertySettings(2_000),
  );
});

test('only the statuses 200 to 599 end a request', () => {
  const sound = Array.from({length: 1_000}, (_, status) => status).filter(
    status => findAnswerHeadFault({status, lines: SOUND}) === undefined,
  );
  expect([sound.at(0), sound.at(-1), sound.length]).toEqual([200, 599, 400]);
  expect(findAnswerHeadFault({status: NaN, lines: SOUND})).toBe('status');
});
