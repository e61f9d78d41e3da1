import {Option, type Command} from 'commander';
import {EXIT_CODES, type ExitCode} from '../exit_codes';
import type {OperatorClient} from '../operator/operator_client';
import {formatStatus, isComplete} from '../output/status_text';
import type {FinishCommand, ProgramContext} from './context';
import {formatExample} from './intent';
import {
  addEntryOptions,
  openClient,
  toInterval,
  type EntryOptions,
} from './options';
import {reportReply} from './report';

interface StatusOptions extends EntryOptions {
  readonly watch: boolean;
  readonly interval: number;
}

const DEFAULT_INTERVAL_MILLISECONDS = 1_000;
// Moves the cursor to the top left and clears the screen below it.
const CLEAR_SCREEN = '\u001b[H\u001b[J';

/** Adds the `status` command. */
export function addStatusCommand(
  program: Command,
  context: ProgramContext,
  finish: FinishCommand,
): void {
  const command = program
    .command('status')
    .description('show how far each version is distributed to its instances')
    .option('--watch', 'refresh until every instance is done', false)
    .addOption(
      new Option('--interval <duration>', 'time between refreshes')
        .default(DEFAULT_INTERVAL_MILLISECONDS, '1s')
        .argParser(toInterval),
    )
    .addHelpText(
      'after',
      formatExample(
        'status --watch --entry http://10.0.1.7:8400 --key-file operator.key',
      ),
    );
  addEntryOptions(command).action(async (options: StatusOptions) => {
    const client = openClient(options);
    finish(await showStatus(client, context, options));
  });
}

async function showStatus(
  client: OperatorClient,
  {io, wait}: ProgramContext,
  options: StatusOptions,
): Promise<ExitCode> {
  const bars = io.isTerminal && !options.json;
  const prefix = options.watch && bars ? CLEAR_SCREEN : '';
  for (;;) {
    let complete = false;
    const reply = client.status();
    const code = await reportReply(io, options.json, reply, status => {
      return `${prefix}${formatStatus(status, bars)}`;
    });
    const result = await reply;
    if (result.ok) complete = isComplete(result.val.value);
    if (!options.watch || complete) return code;
    // Keeps polling while an entry is being replaced.
    if (code !== EXIT_CODES.ok && code !== EXIT_CODES.unreachable) return code;
    await wait(options.interval);
  }
}
