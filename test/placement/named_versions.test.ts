import {createNamedVersions} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';

// A version is named four seconds after another one. Counted from the newest
// name alone, requests would go on to start on the first version for 12 s.
test('each version has its bound from its own naming', () => {
  const versions = createNamedVersions(8_000);
  versions.name('model', 2, 0);
  versions.name('model', 3, 4_000);
  expect(versions.least('model', 7_999)).toBeUndefined();
  expect(versions.least('model', 8_000)).toBe(2);
  expect(versions.least('model', 12_000)).toBe(3);
});

test('an older name changes nothing', () => {
  const versions = createNamedVersions(8_000);
  expect(versions.name('model', 3, 0)).toBe(true);
  expect(versions.name('model', 2, 100)).toBe(false);
  expect(versions.newest('model')).toBe(3);
});
