import type {Log} from '@hibiscusbeam/daemon';
import {loadFleetSettings} from '@hibiscusbeam/fleet';
import {expect, test} from 'vitest';
import {recheckSettings} from '../../packages/fleet/src/settings/settings_check';

const TEXT = `
role: agent
instance: side-1
zone: north
region: north
peerAddress: "10.1.0.41:7700"
store: {address: "10.200.1.7:8007", heartbeat: 1200}
engine: {service: engines, address: "10.1.0.41:8400"}
bounds:
  configuration: 2000
  revocation: 5000
  draining: 2000
  version: 8000
  grace: 8e3
  directoryAnswer: 5e3
  repeats: {share: 0.2, slack: 104, window: 10e3}
`;

function check(read: () => string): readonly string[] {
  const lines: string[] = [];
  const record = (message: string, fields?: unknown) =>
    void lines.push(`${message} ${JSON.stringify(fields ?? {})}`);
  const log: Log = {debug: record, info: record, warn: record, error: record};
  recheckSettings(read, loadFleetSettings(TEXT).unwrap(), log);
  return lines;
}

test('reports whether anything changed', () => {
  expect(check(() => TEXT)[0]).toContain('nothing changed');
  const changed = TEXT.replace('grace: 8e3', 'grace: 9e3');
  expect(check(() => changed)[0]).toContain('at the next start');
});

test('refuses malformed settings and names the field', () => {
  const [line] = check(() => TEXT.replace('grace: 8e3', 'grace: soon'));
  expect(line).toContain('refused');
  expect(line).toContain('bounds.grace');
});

// If the file is being replaced when the signal arrives, the process continues
// with its settings instead of ending with an error.
test('keeps the old settings while the file cannot be read', () => {
  const [line] = check(() => {
    throw new Error('ENOENT: no such file');
  });
  expect(line).toContain('not read; the old ones stay');
  expect(line).toContain('ENOENT');
});
