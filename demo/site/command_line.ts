import {spawn} from 'node:child_process';
import type {SmallSite} from './small_site';

/** Exit code and output of one run of the command line tool. */
export interface CommandResult {
  readonly code: number | null;
  readonly output: string;
  readonly errors: string;
}

/** Runs `hibiscusbeam` as an operator would, against an entry of the site. */
export function runCommand(
  site: SmallSite,
  commandArguments: readonly string[],
  binary = false,
): Promise<CommandResult> {
  const entry = site.entries[0];
  if (entry === undefined) throw new Error('the site has no entry');
  const options = [
    '--entry',
    entry.url,
    '--key-file',
    site.settings.operatorKeyFile,
  ];
  const command = binary ? 'dist/hibiscusbeam' : process.execPath;
  const leadingArguments = binary ? [] : ['dist/hibiscusbeam.cjs'];
  return new Promise((resolve, reject) => {
    const child = spawn(
      command,
      [...leadingArguments, ...commandArguments, ...options],
      {
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    let output = '';
    let errors = '';
    child.stdout.on('data', (piece: Buffer) => (output += piece.toString()));
    child.stderr.on('data', (piece: Buffer) => (errors += piece.toString()));
    child.once('error', reject);
    child.once('exit', code => resolve({code, output, errors}));
  });
}

/** Runs `hibiscusbeam` and parses its JSON; throws on a nonzero exit code. */
export async function runJsonCommand<Value>(
  site: SmallSite,
  commandArguments: readonly string[],
  binary = false,
): Promise<Value> {
  const result = await runCommand(
    site,
    [...commandArguments, '--json'],
    binary,
  );
  if (result.code !== 0) {
    throw new Error(
      `hibiscusbeam ${commandArguments.join(' ')}: exit ${result.code}\n${result.output}${result.errors}`,
    );
  }
  return JSON.parse(result.output) as Value;
}
