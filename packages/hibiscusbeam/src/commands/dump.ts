import {requestDump, type DumpError} from '@hibiscusbeam/daemon';
import {Option, type Command} from 'commander';
import {EXIT_CODES, type ExitCode} from '../exit_codes';
import type {ProgramIo} from '../io';
import {sanitizeText} from '../output/text';
import type {FinishCommand, ProgramContext} from './context';
import {formatExample} from './intent';
import {readKey, toAddress} from './options';

interface DumpOptions {
  readonly keyFile: string;
  readonly json: boolean;
}

/** Adds the `dump` command. */
export function addDumpCommand(
  program: Command,
  {io}: ProgramContext,
  finish: FinishCommand,
): void {
  program
    .command('dump')
    .argument('<address>', 'IP:port of the process (listen.site)', toAddress)
    .description('print the state of a process as JSON')
    .addOption(
      new Option('--key-file <file>', "file with the site's key")
        .env('HIBISCUSBEAM_SITE_KEY_FILE')
        .makeOptionMandatory(),
    )
    .option('--json', 'print the JSON on one line, for scripts', false)
    .addHelpText(
      'after',
      formatExample('dump 10.0.1.7:7400 --key-file site.key'),
    )
    .action(async (address: string, options: DumpOptions) => {
      finish(await printDump(io, address, options));
    });
}

async function printDump(
  io: ProgramIo,
  address: string,
  options: DumpOptions,
): Promise<ExitCode> {
  const key = readKey(options.keyFile, '--key-file');
  const dump = await requestDump(address, key);
  if (dump.err) return reportError(io, address, dump.val);
  const state = JSON.parse(dump.val) as unknown;
  io.out(`${JSON.stringify(state, null, options.json ? 0 : 2)}\n`);
  return EXIT_CODES.ok;
}

function reportError(
  io: ProgramIo,
  address: string,
  {kind, detail}: DumpError,
): ExitCode {
  const text = sanitizeText(detail);
  switch (kind) {
    case 'refused':
      io.error(
        `refused by ${address}: ${text}; give the site's key with --key-file\n`,
      );
      return EXIT_CODES.refused;
    case 'unreachable':
      io.error(
        `unreachable: ${address}: ${text}; name the listen.site address of a live process\n`,
      );
      return EXIT_CODES.unreachable;
  }
}
