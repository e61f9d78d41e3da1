import {
  createLog,
  formatFault,
  readSettingsFile,
  type ProcessSettings,
  type RunningProcess,
} from '@hibiscusbeam/daemon';
import type {Command} from 'commander';
import {EXIT_CODES, type ExitCode} from '../exit_codes';
import {superviseProcess} from '../process/supervise';
import type {FinishCommand, ProgramContext} from './context';
import {formatExample} from './intent';

interface ProcessOptions {
  readonly settings: string;
}

/** Adds the `entry` and `agent` commands. */
export function addProcessCommands(
  program: Command,
  context: ProgramContext,
  finish: FinishCommand,
): void {
  addProcess(
    program,
    'entry',
    'run an entry, which serves callers and operators',
  );
  addProcess(program, 'agent', "run the agent of a target's slot");

  function addProcess(
    parent: Command,
    role: ProcessSettings['role'],
    description: string,
  ): void {
    parent
      .command(role)
      .description(description)
      .requiredOption('--settings <file>', 'settings file, in YAML')
      .addHelpText('after', formatExample(`${role} --settings ${role}.yaml`))
      .action(async (options: ProcessOptions) => {
        finish(await runProcess(context, role, options.settings));
      });
  }
}

async function runProcess(
  context: ProgramContext,
  role: ProcessSettings['role'],
  file: string,
): Promise<ExitCode> {
  const {io} = context;
  const loaded = readSettingsFile(file);
  if (loaded.err) {
    for (const fault of loaded.val) io.error(`${formatFault(fault)}\n`);
    return EXIT_CODES.usage;
  }
  const settings = loaded.val;
  if (settings.role !== role) {
    io.error(
      `${file}: these are settings of an ${settings.role}; run: hibiscusbeam ${settings.role} --settings ${file}\n`,
    );
    return EXIT_CODES.usage;
  }
  const log = createLog({
    settings: settings.log,
    part: 'process',
    secrets: [settings.siteKey],
    write: io.error,
  });
  return superviseProcess({
    start: () => startProcess(context, settings),
    signals: context.signals,
    log,
    onReady: () => io.out(`${describeReady(settings)}\n`),
  });
}

function startProcess(
  context: ProgramContext,
  settings: ProcessSettings,
): Promise<RunningProcess> {
  switch (settings.role) {
    case 'entry':
      return context.startEntry(settings);
    case 'agent':
      return context.startAgent(settings);
  }
}

/** One JSON line that reports to the parent process that this one is ready. */
function describeReady(settings: ProcessSettings): string {
  const {role, instance, siteAddress} = settings;
  const callerAddress =
    settings.role === 'entry' ? settings.callerAddress : undefined;
  return JSON.stringify({
    ready: true,
    role,
    instance,
    siteAddress,
    callerAddress,
  });
}
