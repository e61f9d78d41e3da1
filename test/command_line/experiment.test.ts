import {readExperiment} from '@hibiscusbeam/laboratory';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect, onTestFinished, test} from 'vitest';
import {stringify} from 'yaml';
import {run} from './program_fixture';

const EXPERIMENT = {
  site: {
    zones: 2,
    engines: 4,
    engineLinkMegabits: 8,
    originMegabits: 16,
    latency: {withinZone: 0.2, betweenZones: 3},
  },
  version: {chunks: 8, chunkBytes: 10_000},
  cases: [{kind: 'late'}, {kind: 'joining', engines: 1, gap: 100}],
  policies: {served: {}, oneDownload: {downloadSlots: 1}},
  seeds: [1, 2],
};

function experimentFile(changes: object = {}): string {
  const folder = mkdtempSync(join(tmpdir(), 'hibiscusbeam-experiment-'));
  onTestFinished(() => rmSync(folder, {recursive: true}));
  const file = join(folder, 'experiment.yaml');
  writeFileSync(file, stringify({...EXPERIMENT, ...changes}));
  return file;
}

test('prints a row for each case and policy', async () => {
  const result = await run(['experiment', experimentFile()]);
  expect(result.error).toBe('');
  expect(result.code).toBe(0);
  const rows = result.out.trim().split('\n');
  expect(rows).toHaveLength(5);
  expect(rows[0]).toMatch(/^case +policy +mean ms +last ms/);
  expect(rows[1]).toMatch(/^late +served +\d+/);
  expect(rows[4]).toMatch(/^joining 1, one each 100 ms +oneDownload/);
});

test('prints the same results each time, as JSON too', async () => {
  const file = experimentFile();
  const [one, other] = [
    await run(['experiment', file, '--json']),
    await run(['experiment', file, '--json']),
  ];
  expect(one.out).toBe(other.out);
  expect(JSON.parse(one.out)).toContainEqual(
    expect.objectContaining({policy: 'served', without: 0, originCopies: 1}),
  );
});

test('shows progress on a terminal', async () => {
  const io = {
    out: () => undefined,
    error: (text: string) => void lines.push(text),
    isTerminal: true,
    readInput: () => Promise.resolve(''),
  };
  const lines: string[] = [];
  await run(['experiment', experimentFile()], {io});
  expect(lines).toContain('\rplayed 4 of 4');
});

test('names each wrong field and runs nothing', async () => {
  const file = experimentFile({
    seeds: [],
    cases: [{kind: 'frozen', at: -1}],
    policies: {served: {downloadSlots: 0, hops: 2}},
  });
  const result = await run(['experiment', file]);
  expect(result.code).toBe(2);
  expect(result.out).toBe('');
  for (const field of [
    'seeds',
    'cases.0.at',
    'policies.served.downloadSlots',
    'policies.served',
  ]) {
    expect(result.error).toContain(`${file}: ${field}: `);
  }
});

test('the example experiment is valid', () => {
  const file = 'examples/experiments/moving_a_version.yaml';
  const experiment = readExperiment(readFileSync(file, 'utf8')).unwrap();
  expect(experiment.cases).toHaveLength(4);
});

test('names a file that cannot be read', async () => {
  const result = await run(['experiment', 'no-such-file.yaml']);
  expect(result.code).toBe(2);
  expect(result.error).toContain('no-such-file.yaml: ');
});
