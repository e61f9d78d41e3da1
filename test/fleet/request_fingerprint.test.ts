import {expect, test} from 'vitest';
import {fingerprintOf} from '../../packages/fleet/src/entry/request_fingerprint';

const request = {
  workspace: 'shop',
  path: '/a/b',
  blocks: [Buffer.from('text')],
};

test('the same caller, path and body have the same fingerprint', () => {
  const again = {...request, blocks: [Buffer.from('text')]};
  expect(fingerprintOf(again)).toBe(fingerprintOf(request));
});

test.each([
  {...request, workspace: 'counter'},
  {...request, workspace: undefined},
  {...request, path: '/a/c'},
  {...request, blocks: [Buffer.from('other')]},
])('another caller, path or body has another fingerprint: %o', other => {
  expect(fingerprintOf(other)).not.toBe(fingerprintOf(request));
});
