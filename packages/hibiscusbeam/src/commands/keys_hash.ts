import {createHash} from 'node:crypto';
import type {Command} from 'commander';
import {EXIT_CODES} from '../exit_codes';
import type {FinishCommand, ProgramContext} from './context';
import {formatExample} from './intent';

// Shorter keys can be found by brute force, since the hash has no salt.
const MIN_KEY_LENGTH = 16;

/** Adds the `keys hash` command. */
export function addKeysCommands(
  program: Command,
  {io}: ProgramContext,
  finish: FinishCommand,
): void {
  program
    .command('keys')
    .description('work with keys')
    .command('hash')
    .description('print the SHA-256 of a key read from standard input')
    .addHelpText('after', formatExample('keys hash < operator.key'))
    .action(async () => {
      const key = (await io.readInput()).trim();
      if (key.length < MIN_KEY_LENGTH || !/^[\x21-\x7e]+$/.test(key)) {
        io.error(
          `a key must be one line of plain text without blanks, at least ${MIN_KEY_LENGTH} characters; make one with: openssl rand -hex 32\n`,
        );
        finish(EXIT_CODES.usage);
        return;
      }
      const hash = createHash('sha256').update(key, 'utf8').digest('hex');
      io.out(`${hash}\n`);
      finish(EXIT_CODES.ok);
    });
}
