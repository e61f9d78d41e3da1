import type {Bytes, Milliseconds} from '@hibiscusbeam/core';
import {Err, Ok, type Result} from 'ts-results';

const DURATION_UNITS: ReadonlyMap<string, number> = new Map([
  ['ms', 1],
  ['s', 1_000],
  ['m', 60_000],
  ['h', 3_600_000],
]);

const SIZE_UNITS: ReadonlyMap<string, number> = new Map([
  ['B', 1],
  ['KiB', 1_024],
  ['MiB', 1_024 ** 2],
  ['GiB', 1_024 ** 3],
]);

/** Milliseconds of a duration such as `4s`; the error says what is wrong. */
export function parseDuration(text: string): Result<Milliseconds, string> {
  return parseQuantity(text, DURATION_UNITS, 'a duration such as 4s or 250ms');
}

/** Bytes of a size such as `16MiB`; the error says what is wrong. */
export function parseSize(text: string): Result<Bytes, string> {
  return parseQuantity(text, SIZE_UNITS, 'a size such as 64KiB or 16MiB');
}

function parseQuantity(
  text: string,
  units: ReadonlyMap<string, number>,
  expected: string,
): Result<number, string> {
  const parts = /^(\d{1,9}(?:\.\d{1,3})?)([A-Za-z]*)$/.exec(text);
  if (parts === null) return Err(`must be ${expected}`);
  const [, amount = '', unit = ''] = parts;
  const factor = units.get(unit);
  if (factor === undefined) {
    const known = [...units.keys()].join(', ');
    const problem = unit === '' ? 'has no unit' : `has the unit "${unit}"`;
    return Err(`${problem}; must be ${expected} (units: ${known})`);
  }
  const value = Number(amount) * factor;
  if (!Number.isSafeInteger(value)) {
    return Err(`must come to a whole number of ${[...units.keys()][0]}`);
  }
  return Ok(value);
}
