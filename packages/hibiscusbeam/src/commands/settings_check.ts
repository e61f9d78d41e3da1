import {formatFault, readSettingsFile} from '@hibiscusbeam/daemon';
import type {Command} from 'commander';
import {EXIT_CODES} from '../exit_codes';
import type {FinishCommand, ProgramContext} from './context';
import {formatExample} from './intent';

interface CheckOptions {
  readonly json: boolean;
}

/** Adds the `settings check` command. */
export function addSettingsCommands(
  program: Command,
  {io}: ProgramContext,
  finish: FinishCommand,
): void {
  program
    .command('settings')
    .description('work with settings files')
    .command('check')
    .argument('<file>', 'settings file, in YAML')
    .description('check a settings file and print every fault')
    .option('--json', 'print the faults as JSON, for scripts', false)
    .addHelpText('after', formatExample('settings check entry.yaml'))
    .action((file: string, options: CheckOptions) => {
      const settings = readSettingsFile(file);
      const faults = settings.ok ? [] : settings.val;
      for (const fault of faults) io.error(`${formatFault(fault)}\n`);
      if (options.json) {
        io.out(`${JSON.stringify({ok: settings.ok, faults})}\n`);
      } else if (settings.ok) {
        const {role, instance} = settings.val;
        io.out(`${file}: good settings of ${role} ${instance}\n`);
      }
      finish(settings.ok ? EXIT_CODES.ok : EXIT_CODES.usage);
    });
}
