import {createHash} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {
  commandsOf,
  createProgram,
  EXIT_CODE_MEANINGS,
  type ProgramContext,
} from 'hibiscusbeam';
import {describe, expect, test} from 'vitest';
import {tableRows} from '../fixtures/markdown';
import {writeKeyFile, OPERATOR_KEY, run} from './program_fixture';

const PAGE = readFileSync('docs/command_line.md', 'utf8');

const KEY_OPTIONS = ['--entry', 'http://127.0.0.1:9', '--key-file', 'x'];

/** Commands without subcommands, with the words that run them. */
function leafCommands() {
  const context = {io: {}} as ProgramContext;
  return commandsOf(createProgram(context, () => undefined))
    .filter(command => command.commands.length === 0)
    .map(command => {
      const parent = command.parent?.parent ? [command.parent.name()] : [];
      const inputs = command.registeredArguments.map(
        argument => `<${argument.name()}>`,
      );
      const words = ['hibiscusbeam', ...parent, command.name(), ...inputs];
      return {command, parent, words: words.join(' ')};
    });
}

describe('usage', () => {
  test('the documentation lists every command with every option', () => {
    const documented = PAGE.split('\n### ')
      .slice(1)
      .map(section => {
        const flags = [...section.matchAll(/`(--[a-z-]+(?: <[a-z]+>)?)`/g)];
        return {
          words: /^`(.*)`/.exec(section)?.[1],
          options: flags.map(([, option]) => option).sort(),
        };
      });
    const expected = leafCommands().map(({command, words}) => ({
      words,
      options: command.options.map(option => option.flags).sort(),
    }));
    expect(documented).toEqual(expected);
  });

  test('the documentation lists every exit code', () => {
    expect(tableRows(PAGE, 'Code')).toEqual(Object.entries(EXIT_CODE_MEANINGS));
  });

  test('every command has help with an example', async () => {
    for (const {command, parent} of leafCommands()) {
      const result = await run([...parent, command.name(), '--help']);
      expect(result.code).toBe(0);
      expect(result.out).toContain('Example:\n  $ hibiscusbeam');
    }
  });

  test('the version is that of the package', async () => {
    const manifest = JSON.parse(
      readFileSync('packages/hibiscusbeam/package.json', 'utf8'),
    ) as {version: string};
    expect((await run(['--version'])).out).toBe(`${manifest.version}\n`);
  });

  test.each([
    ['no command', []],
    ['an unknown command', ['frob']],
    ['an unknown option', ['status', '--frob', ...KEY_OPTIONS]],
    ['no settings', ['entry']],
    ['a missing settings file', ['entry', '--settings', 'lost.yaml']],
    ['an entry by host name', ['status', '--entry', 'http://entry.example']],
    ['a missing key file', ['status', ...KEY_OPTIONS]],
    [
      'a plan id that changes the URL path',
      ['intent', 'show', '..', ...KEY_OPTIONS],
    ],
    ['an interval without unit', ['status', '--interval', '1', ...KEY_OPTIONS]],
    ['an address without port', ['dump', '10.0.1.7', '--key-file', 'x']],
  ])(
    '%s is reported on standard error as wrong usage',
    async (_name, words) => {
      const result = await run(words);
      expect([result.code, result.out]).toEqual([2, '']);
      expect(result.error).not.toBe('');
    },
  );

  test('a key is hashed without its trailing line break', async () => {
    const result = await run(['keys', 'hash'], {}, `${OPERATOR_KEY}\r\n`);
    const hash = createHash('sha256').update(OPERATOR_KEY).digest('hex');
    expect(result).toEqual({code: 0, out: `${hash}\n`, error: ''});
    expect((await run(['keys', 'hash'], {}, 'short')).code).toBe(2);
  });

  test('faults of settings are printed one per line and as JSON', async () => {
    const file = writeKeyFile();
    const result = await run(['settings', 'check', file, '--json']);
    expect(result.code).toBe(2);
    expect(result.error).toContain(`${file}:1:1: must be a mapping`);
    expect(JSON.parse(result.out)).toMatchObject({
      ok: false,
      faults: [{kind: 'wrongValue', line: 1, column: 1, path: ''}],
    });
  });
});
