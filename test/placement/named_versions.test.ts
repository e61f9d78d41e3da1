import {createNamedVersions, VERSION_BOUND_MARGIN} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';

// A version is named four seconds after another one. If only the newest naming
// counted, requests would continue to start on the first version for 12 s.
test('each version has its bound from its own naming', () => {
  const versions = createNamedVersions(8_000);
  versions.name('model', 2, 0);
  versions.name('model', 3, 4_000);
  expect(versions.oldestAllowed('model', 7_999, 0)).toBeUndefined();
  expect(versions.oldestAllowed('model', 8_000, 0)).toBe(2);
  expect(versions.oldestAllowed('model', 12_000, 0)).toBe(3);
});

// An entry restarts six seconds after a version was named. If its own first
// check counted, it would send requests to the older version for 6 s too long.
test('the process that learned of a version first sets its bound', () => {
  const versions = createNamedVersions(8_000);
  versions.name('model', 3, 6_000);
  expect(versions.name('model', 2, -1_000)).toBe(false);
  expect(versions.name('model', 3, 1_000)).toBe(false);
  versions.name('model', 3, 5_000);
  expect(versions.oldestAllowed('model', 7_000, 0)).toBe(2);
  expect(versions.oldestAllowed('model', 9_000, 0)).toBe(3);
  const [two, three] = versions.recent();
  expect(two).toMatchObject({version: 2, knownSince: -1_000});
  expect(three).toMatchObject({version: 3, knownSince: 1_000});
});

test('an older version that is named later is not the newest', () => {
  const versions = createNamedVersions(8_000);
  expect(versions.name('model', 3, 0)).toBe(true);
  expect(versions.name('model', 2, 100)).toBe(false);
  expect(versions.newest('model')).toBe(3);
});

test('what has not begun on a version is withdrawn before the bound of the first newer one', () => {
  const bound = 8_000;
  let namings = 0;
  const versions = createNamedVersions(
    bound - VERSION_BOUND_MARGIN,
    () => (namings += 1),
  );
  expect(versions.withdrawalTime('model', 1, false)).toBe(Infinity);
  versions.name('model', 3, 4_000);
  versions.name('model', 2, 0);
  const near = versions.withdrawalTime('model', 1, false);
  expect(near).toBeLessThan(bound);
  expect(near).toBeGreaterThan(bound - VERSION_BOUND_MARGIN);
  expect(versions.withdrawalTime('model', 1, true)).toBe(
    bound - VERSION_BOUND_MARGIN,
  );
  expect(versions.withdrawalTime('model', 2, false)).toBe(4_000 + near);
  expect(versions.withdrawalTime('model', 3, false)).toBe(Infinity);
  versions.name('model', 2, 100);
  expect(namings).toBe(2);
  versions.name('model', 2, -100);
  expect(namings).toBe(3);
});
