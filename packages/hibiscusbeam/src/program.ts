import {Command, CommanderError, InvalidArgumentError} from 'commander';
import type {ProgramContext} from './commands/context';
import {addDumpCommand} from './commands/dump';
import {addExperimentCommand} from './commands/experiment';
import {addExplainCommands} from './commands/explain';
import {addIntentCommands} from './commands/intent';
import {addKeysCommands} from './commands/keys_hash';
import {addProcessCommands} from './commands/run_process';
import {addSettingsCommands} from './commands/settings_check';
import {addStatusCommand} from './commands/status';
import {EXIT_CODE_MEANINGS, EXIT_CODES, type ExitCode} from './exit_codes';
import {VERSION} from './version';

/** Creates the program with all commands; `finish` receives the exit code. */
export function createProgram(
  context: ProgramContext,
  finish: (code: ExitCode) => void,
): Command {
  const program = new Command('hibiscusbeam')
    .description(
      'Distributes model weights and routes requests, also during bursts of traffic.',
    )
    .version(VERSION)
    .showHelpAfterError('(add --help for the usage)')
    .addHelpText('after', `\n${describeExitCodes()}`);
  addProcessCommands(program, context, finish);
  addIntentCommands(program, context, finish);
  addStatusCommand(program, context, finish);
  addDumpCommand(program, context, finish);
  addExplainCommands(program, context, finish);
  addExperimentCommand(program, context, finish);
  addSettingsCommands(program, context, finish);
  addKeysCommands(program, context, finish);
  for (const command of commandsOf(program)) {
    command.exitOverride();
    command.configureOutput({
      writeOut: context.io.out,
      writeErr: context.io.error,
    });
  }
  return program;
}

/** Returns a command and all of its subcommands. */
export function commandsOf(command: Command): readonly Command[] {
  return [command, ...command.commands.flatMap(commandsOf)];
}

/** Runs the command that the arguments name; returns its exit code. */
export async function runProgram(
  context: ProgramContext,
  programArguments: readonly string[],
): Promise<ExitCode> {
  let code: ExitCode = EXIT_CODES.ok;
  const program = createProgram(context, finished => (code = finished));
  try {
    await program.parseAsync(programArguments, {from: 'user'});
    return code;
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    // Commander prints its own errors but not those that actions throw.
    if (error instanceof InvalidArgumentError) {
      context.io.error(`error: ${error.message}\n`);
    }
    return error.exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.usage;
  }
}

function describeExitCodes(): string {
  const lines = Object.entries(EXIT_CODE_MEANINGS).map(
    ([code, meaning]) => `  ${code}  ${meaning}`,
  );
  return ['Exit codes:', ...lines].join('\n');
}
