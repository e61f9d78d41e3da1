import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';

/** Settings of an agent; only the role matters here. */
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
  commandArguments: readonly string[],
  settings?: string,
): Promise<ProgramResult> {
  const env = {...process.env, HIBISCUSBEAM_CONFIG: settings};
  return new Promise(resolve => {
    execFile(
      process.execPath,
      [program, ...commandArguments],
      {env},
      (error, _, errorOutput) => resolve({code: error?.code ?? 0, errorOutput}),
    );
  });
}

test('the launcher prints its usage if no role is given', async () => {
  const ending = await run(LAUNCHER, []);
  expect(ending).toEqual({
    code: 2,
    errorOutput: 'usage: hibiscusbeam.cjs entry|agent\n',
  });
});

// A deploy file passes the settings of an agent to an entry. If the entry
// started anyway, it would listen where no caller connects.
test('a role rejects the settings of another role and names the field', async () => {
  const settings = join(directory, 'agent.yaml');
  writeFileSync(settings, AGENT);
  const {code, errorOutput} = await run(ENTRY, [], settings);
  expect(code).toBe(2);
  expect(errorOutput).toContain('role: must be entry, which this program runs');
});
