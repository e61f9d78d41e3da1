import {readAnswerHead} from '@hibiscusbeam/core';
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
      const isSound = readAnswerHead({status: 200, lines}).ok;
      expect(isSound).toBe(isWritable(name, value));
    }),
    propertySettings(2_000),
  );
});

test('only the statuses 200 to 599 end a request', () => {
  const sound = Array.from({length: 1_000}, (_, status) => status).filter(
    status => readAnswerHead({status, lines: SOUND}).ok,
  );
  expect([sound.at(0), sound.at(-1), sound.length]).toEqual([200, 599, 400]);
  expect(readAnswerHead({status: NaN, lines: SOUND}).val).toBe('status');
});

test.each([
  {lines: [], end: 'connection'},
  {lines: ['Content-Length', '0'], end: 'length'},
  {lines: ['content-length', '12'], end: 'length'},
  {lines: ['Content-Length', '\t12 '], end: 'length'},
  {lines: ['Transfer-Encoding', 'chunked'], end: 'lastChunk'},
  {lines: ['transfer-encoding', 'Chunked'], end: 'lastChunk'},
  {lines: ['Transfer-Encoding', ' chunked '], end: 'lastChunk'},
])('the body of an answer with $lines ends with its $end', ({lines, end}) => {
  expect(readAnswerHead({status: 200, lines}).val).toBe(end);
});

// Guards against a body whose end nobody knows, or which nobody can decode.
test.each([
  {values: ['odd'], fault: 'transferCoding'},
  {values: [''], fault: 'transferCoding'},
  {values: ['identity'], fault: 'transferCoding'},
  {values: ['gzip, chunked'], fault: 'transferCoding'},
  {values: ['gzip', 'chunked'], fault: 'transferCoding'},
  {values: ['chunked, chunked'], fault: 'transferCoding'},
  {values: ['chunked', 'chunked'], fault: 'transferCoding'},
])('no answer has the transfer codings $values', ({values, fault}) => {
  const lines = values.flatMap(value => ['Transfer-Encoding', value]);
  expect(readAnswerHead({status: 200, lines}).val).toBe(fault);
});

test.each([[''], ['-1'], ['+1'], ['0x1'], ['1, 1'], ['1 1'], ['1', '1']])(
  'no answer has the lengths %s',
  (...values) => {
    const lines = values.flatMap(value => ['Content-Length', value]);
    expect(readAnswerHead({status: 200, lines}).val).toBe('length');
  },
);

test('no answer has a length and a transfer coding', () => {
  const lines = ['Transfer-Encoding', 'chunked', 'Content-Length', '1'];
  expect(readAnswerHead({status: 200, lines}).val).toBe('length');
});
