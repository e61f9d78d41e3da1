import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';

/** Settings of an agent; only its role matters here. */
const AGENT = `
role: agent
instance: one
zone: north
region: north
peerAddress: 127.0.0.1:1
engine: {address: "127.0.0.1:2", service: engines}
store: {address: "127.0.0.1:3", heartbeat: 1200}
bounds:
  configuration: 2000
  revocation: 5000
  draining: 2000
  version: 8000
  grace: 8000
  directoryAnswer: 5000
  repeats: {share: 0.2, slack: 100, window: 10000}
`;

/** Built by `scripts/programs.mjs`, as `npm test` does. */
const ENTRY = resolve('dist/fleet_entry.cjs');

const LAUNCHER = resolve('scripts/fleet_launcher.cjs');

let directory: string;

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'hibiscusbeam-'));
});

afterEach(() => rmSync(directory, {recursive: true}));

interface ProgramResult {
  readonly code: unknown;
  readonly errorOutput: string;
}

function run(
  program: string,
  words: readonly string[],
  settings?: string,
): Promise<ProgramResult> {
  const env = {...process.env, HIBISCUSBEAM_CONFIG: settings};
  return new Promise(resolve => {
    execFile(
      process.execPath,
      [program, ...words],
      {env},
      (error, _, errorOutput) => resolve({code: error?.code ?? 0, errorOutput}),
    );
  });
}

test('the launcher says how it is used when it is given no role', async () => {
  const ending = await run(LAUNCHER, []);
  expect(ending).toEqual({
    code: 2,
    errorOutput: 'usage: hibiscusbeam.cjs entry|agent\n',
  });
});

// A deploy file gives an entry the settings of an agent. Started all the same, it
// would listen where nobody asks.
test('a role refuses the settings of another one, with the field', async () => {
  const settings = join(directory, 'agent.yaml');
  writeFileSync(settings, AGENT);
  const {code, errorOutput} = await run(ENTRY, [], settings);
  expect(code).toBe(2);
  expect(errorOutput).toContain('role: must be entry, which this program runs');
});
