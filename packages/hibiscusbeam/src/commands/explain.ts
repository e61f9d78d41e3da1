import type {Command} from 'commander';
import {readFileSync} from 'node:fs';
import {Err, Ok, type Result} from 'ts-results';
import {EXIT_CODES, type ExitCode} from '../exit_codes';
import {readLogLines, type LogLine} from '../explain/log_lines';
import {countFailures, traceRequest} from '../explain/request_trace';
import type {ProgramIo} from '../io';
import {sanitizeText} from '../output/text';
import type {FinishCommand, ProgramContext} from './context';
import {formatExample} from './intent';

/** Adds the `explain` and `failures` commands. */
export function addExplainCommands(
  program: Command,
  {io}: ProgramContext,
  finish: FinishCommand,
): void {
  program
    .command('explain')
    .argument('<request>', 'ID of the request')
    .argument(
      '[files...]',
      'log files of one or more processes (default: standard input)',
    )
    .description('explain what happened to a request, and why, from logs')
    .addHelpText('after', formatExample('explain 16cbfbb98f38a87d entry-*.log'))
    .action(async (request: string, files: readonly string[]) => {
      finish(await explain(io, request, files));
    });
  program
    .command('failures')
    .argument(
      '[files...]',
      'log files of one or more processes (default: standard input)',
    )
    .description('count the failed requests in logs by cause')
    .addHelpText('after', formatExample('failures entry-*.log'))
    .action(async (files: readonly string[]) => {
      finish(await listFailures(io, files));
    });
}

async function explain(
  io: ProgramIo,
  request: string,
  files: readonly string[],
): Promise<ExitCode> {
  const lines = await readLogs(io, files);
  if (lines.err) return refuse(io, lines.val);
  const trace = [...traceRequest(lines.val, request)];
  if (trace.length === 0) {
    io.error(
      `no line tells the end of ${sanitizeText(request)}; give the logs of all entries of that time\n`,
    );
    return EXIT_CODES.refused;
  }
  for (const line of trace) io.out(`${sanitizeText(line)}\n`);
  return EXIT_CODES.ok;
}

async function listFailures(
  io: ProgramIo,
  files: readonly string[],
): Promise<ExitCode> {
  const lines = await readLogs(io, files);
  if (lines.err) return refuse(io, lines.val);
  for (const [cause, count] of countFailures(lines.val)) {
    io.out(`${count}\t${sanitizeText(cause)}\n`);
  }
  return EXIT_CODES.ok;
}

async function readLogs(
  io: ProgramIo,
  files: readonly string[],
): Promise<Result<readonly LogLine[], string>> {
  if (files.length === 0) {
    return Ok([...readLogLines(await io.readInput(), '-')]);
  }
  const lines: LogLine[] = [];
  for (const file of files) {
    try {
      lines.push(...readLogLines(readFileSync(file, 'utf8'), file));
    } catch (error) {
      const detail = error instanceof Error ? error.message : 'not readable';
      return Err(`${file}: ${detail}`);
    }
  }
  return Ok(lines);
}

function refuse(io: ProgramIo, detail: string): ExitCode {
  io.error(`log not read: ${sanitizeText(detail)}; name files that exist\n`);
  return EXIT_CODES.usage;
}
