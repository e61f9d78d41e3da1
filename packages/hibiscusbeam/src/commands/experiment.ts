import {
  readExperiment,
  runExperiment,
  type Experiment,
  type ExperimentCase,
  type ExperimentResult,
} from '@hibiscusbeam/laboratory';
import type {Command} from 'commander';
import {readFileSync} from 'node:fs';
import {EXIT_CODES, type ExitCode} from '../exit_codes';
import type {ProgramIo} from '../io';
import {sanitizeText, formatTable} from '../output/text';
import type {FinishCommand, ProgramContext} from './context';
import {formatExample} from './intent';

interface ExperimentOptions {
  readonly json: boolean;
}

const HEADINGS = [
  'case',
  'policy',
  'mean ms',
  'last ms',
  'worst ms',
  'without',
  'origin copies',
  'between zones',
];

/** Adds the `experiment` command. */
export function addExperimentCommand(
  program: Command,
  {io}: ProgramContext,
  finish: FinishCommand,
): void {
  program
    .command('experiment')
    .argument(
      '<file>',
      'experiment file with site, version, cases and policies, in YAML',
    )
    .description(
      'simulate how long a version takes to reach all engines of a site',
    )
    .option('--json', 'print the results as JSON, for scripts', false)
    .addHelpText('after', formatExample('experiment moving_a_version.yaml'))
    .action((file: string, options: ExperimentOptions) => {
      finish(printExperiment(io, file, options));
    });
}

function printExperiment(
  io: ProgramIo,
  file: string,
  {json}: ExperimentOptions,
): ExitCode {
  const experiment = loadExperiment(io, file);
  if (experiment === undefined) return EXIT_CODES.usage;
  const results = runWithProgress(io, experiment);
  if (json) io.out(`${JSON.stringify(results)}\n`);
  else io.out(`${formatTable(HEADINGS, results.map(formatRow))}\n`);
  const isComplete = results.every(({without}) => without === 0);
  return isComplete ? EXIT_CODES.ok : EXIT_CODES.refused;
}

function loadExperiment(io: ProgramIo, file: string): Experiment | undefined {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const detail = error instanceof Error ? error.message : 'not readable';
    io.error(`${sanitizeText(file)}: ${sanitizeText(detail)}\n`);
    return undefined;
  }
  const experiment = readExperiment(text);
  if (experiment.ok) return experiment.val;
  for (const {field, message} of experiment.val) {
    const location = [file, field].filter(part => part !== '').join(': ');
    io.error(`${sanitizeText(location)}: ${sanitizeText(message)}\n`);
  }
  return undefined;
}

function runWithProgress(
  io: ProgramIo,
  experiment: Experiment,
): readonly ExperimentResult[] {
  const count =
    experiment.cases.length * Object.keys(experiment.policies).length;
  const results: ExperimentResult[] = [];
  for (const result of runExperiment(experiment)) {
    results.push(result);
    if (io.isTerminal) io.error(`\rplayed ${results.length} of ${count}`);
  }
  if (io.isTerminal) io.error('\n');
  return results;
}

function formatRow(result: ExperimentResult): readonly string[] {
  return [
    formatCase(result.case),
    result.policy,
    ...[result.mean, result.last, result.worst].map(time => time.toFixed(0)),
    String(result.without),
    result.originCopies.toFixed(2),
    result.crossZoneCopies.toFixed(2),
  ];
}

function formatCase(experimentCase: ExperimentCase): string {
  switch (experimentCase.kind) {
    case 'named':
    case 'late':
      return experimentCase.kind;
    case 'joining':
      return `joining ${experimentCase.engines}, one each ${experimentCase.gap} ms`;
    case 'frozen':
      return `one frozen at ${experimentCase.at} ms`;
  }
}
