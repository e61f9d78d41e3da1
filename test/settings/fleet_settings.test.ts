import {loadFleetSettings} from '@hibiscusbeam/fleet';
import {readFileSync} from 'node:fs';
import {expect, test} from 'vitest';

const entry = `
role: entry
instance: front-1
zone: north
region: north
peerAddress: "10.1.0.40:7700"
callerAddress: "10.1.0.40:8005"
readinessAddress: "10.1.0.40:8002"
directoryAddress: "10.1.0.40:8009"
store: {address: "10.200.1.7:8007", heartbeat: 1200}
bounds:
  configuration: 2000
  revocation: 5000
  draining: 2000
  version: 8000
  grace: 8e3
  directoryAnswer: 5e3
  repeats: {share: 0.2, slack: 104, window: 10e3}
`;

test('reads the settings of an entry and ignores unknown fields', () => {
  const loaded = loadFleetSettings(`${entry}later: {field: 1}\n`);
  expect(loaded.val).toMatchObject({
    role: 'entry',
    bounds: {grace: 8_000},
    logLevel: 'info',
  });
});

test('reports every invalid field', () => {
  const text = entry
    .replace('grace: 8e3', 'grace: soon')
    .replace('callerAddress: "10.1.0.40:8005"', 'callerAddress: "nowhere"');
  const loaded = loadFleetSettings(text);
  expect(loaded.ok).toBe(false);
  expect(loaded.val).toMatchObject([
    {field: 'callerAddress'},
    {field: 'bounds.grace'},
  ]);
});

test('reports a file that is not valid YAML', () => {
  const loaded = loadFleetSettings('role: [entry');
  expect(loaded.ok).toBe(false);
  expect(loaded.val).toMatchObject([{field: ''}]);
});

test('the deployed templates set every required field', () => {
  for (const role of ['entry', 'agent']) {
    const template = readFileSync(`deploy/${role}.yaml.template`, 'utf8');
    const filled = template
      .replaceAll(/\{\{(Listen\.\w+|Platform\.Address|app)\|json\}\}/g, '"a:1"')
      .replaceAll('{{Ip}}:{{PortRange.0}}', '10.1.0.40:7700')
      .replaceAll('{{Ip}}', '10.1.0.40')
      .replaceAll('{{Contracts|json}}', '["pressure"]')
      // Not every deployment evacuates zones.
      .replaceAll('{{Bounds.EvacuateMs|json}}', '')
      .replaceAll(/\{\{(NodeName|Zone|Region|Service)\|json\}\}/g, '"name"')
      .replaceAll('{{Zones|json}}', '{"north": "inland"}')
      .replaceAll(/\{\{[\w.]+\|json\}\}/g, '1');
    expect(loadFleetSettings(filled)).toMatchObject({ok: true});
  }
});

test('admission is limited only if the deployment enables it', () => {
  const admissionOf = (line: string) => {
    const loaded = loadFleetSettings(`${entry}${line}\n`);
    return loaded.ok && loaded.val.role === 'entry'
      ? loaded.val.admission
      : loaded.val;
  };
  expect(admissionOf('')).toBe('none');
  expect(admissionOf('admission: level')).toBe('level');
  const listed = (list: string) =>
    admissionOf(`admission: {levelWhen: pressure, among: ${list}}`);
  expect(listed('["other", "pressure"]')).toBe('level');
  expect(listed('["other"]')).toBe('none');
  expect(listed('')).toBe('none');
  expect(listed('7')).toMatchObject([{field: 'admission'}]);
});
