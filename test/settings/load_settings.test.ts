import {loadSettings, type SettingsFault} from '@hibiscusbeam/daemon';
import {Err, Ok} from 'ts-results';
import {describe, expect, test} from 'vitest';
import {AGENT_FILE, ENTRY_FILE} from './example_files';

const SITE_KEY = 'a-site-key-of-good-length';

function load(text: string) {
  return loadSettings(text, '/site/entry.yaml', path =>
    path === '/site/site.key' ? Ok(`${SITE_KEY}\n`) : Err('no such file'),
  );
}

function faultsOf(text: string): readonly SettingsFault[] {
  const loaded = load(text);
  return loaded.ok ? [] : loaded.val;
}

/** Faults as `line:column kind path`. */
function locationsOf(text: string): readonly string[] {
  return faultsOf(text).map(
    fault => `${fault.line}:${fault.column} ${fault.kind} ${fault.path}`,
  );
}

describe('settings', () => {
  test('of an entry resolve with their defaults', () => {
    expect(load(ENTRY_FILE).unwrap()).toEqual({
      role: 'entry',
      instance: 'bilbao-7',
      zone: 'bilbao-hall',
      region: 'norte',
      siteAddress: {host: '10.0.1.7', port: 7400},
      callerAddress: {host: '10.0.1.7', port: 8400},
      siteKey: SITE_KEY,
      platform: {url: 'http://10.0.0.5:8080', timeout: 2_000},
      operatorKeys: [{name: 'ainhoa', sha256: 'a'.repeat(64)}],
      workspaceKeys: [{name: 'oviedo-counter', sha256: 'b'.repeat(64)}],
      limits: {
        requestBody: 1_048_576,
        jsonDepth: 32,
        waiting: 512,
        longestDeadline: 300_000,
      },
      addressesKeptFor: 30_000,
      log: {level: 'info', format: 'json'},
      metrics: {
        address: {host: 'fd00::9', port: 8125},
        prefix: 'hibiscusbeam.',
      },
    });
  });

  test('of an agent resolve with their defaults', () => {
    expect(load(AGENT_FILE).unwrap()).toMatchObject({
      role: 'agent',
      target: {
        name: 'invoicing-1',
        kind: 'plainService',
        service: 'invoicing',
        url: 'http://10.0.1.8:9000',
        fencing: 'ignored',
      },
      transferBuffer: 268_435_456,
      metrics: undefined,
    });
  });

  test('report every fault at once, in the order of the file', () => {
    const text = [
      'role: entry', // 1
      'instance: 7', // 2
      'zone: bilbao-hall', // 3
      'colour: red', // 4
      'listen:', // 5
      '  site: 10.0.1.7:8400', // 6
      '  callers: 10.0.1.7:8400', // 7
      'platform:', // 8
      '  url: http://platform.example:80', // 9
      '  timeout: 2sec', // 10
      'keys:', // 11
      '  siteKeyFile: lost.key', // 12
      '  workspaces:', // 13
      `    - {name: x, sha256: ${'c'.repeat(64)}}`, // 14
      `    - {name: x, sha256: ${'c'.repeat(64)}}`, // 15
      'limits:', // 16
      '  requestBody: 4s', // 17
      '  waiting: many', // 18
      'transferBuffer: 1MiB', // 19
      'zone: oviedo-hall', // 20
    ].join('\n');
    expect(locationsOf(text)).toEqual([
      '1:1 missingField region',
      '2:11 wrongValue instance',
      '4:9 unknownField colour',
      '7:12 clash listen.callers',
      '9:8 wrongValue platform.url',
      '10:12 wrongValue platform.timeout',
      '12:16 unusableKeyFile keys.siteKeyFile',
      '15:14 clash keys.workspaces.1.name',
      '15:25 clash keys.workspaces.1.sha256',
      '17:16 wrongValue limits.requestBody',
      '18:12 wrongValue limits.waiting',
      '19:17 unknownField transferBuffer',
      '20:1 malformedYaml zone',
    ]);
  });

  test.each([
    ['a tab', 'role: entry\nlisten:\n\tsite: 1', '3:1'],
    ['an open bracket', 'role: [entry', '1:13'],
    ['two documents', 'role: entry\n---\nrole: agent', '2:1'],
    ['an alias', 'role: &r entry\nzone: *r', '2:7'],
    ['an unknown tag', 'role: !mine entry', '1:7'],
    ['a structured field name', '? [role]\n: entry', '1:3'],
    ['deeper than any setting', '['.repeat(40) + ']'.repeat(40), '1:1'],
    ['nesting that would overflow the stack', '['.repeat(100_000), '1:1'],
  ])('refuse malformed YAML: %s', (_name, text, place) => {
    const [fault] = faultsOf(text);
    expect(fault?.kind).toBe('malformedYaml');
    expect(`${fault?.line}:${fault?.column}`).toBe(place);
  });
});
