import {createLog, startAgent, startEntry} from '@hibiscusbeam/daemon';
import type {ProgramContext} from './commands/context';
import {EXIT_CODES} from './exit_codes';
import {runProgram} from './program';

// Has the default log settings, since the settings may not have been read yet.
const log = createLog({
  settings: {level: 'info', format: 'json'},
  part: 'process',
});

function exitOnError(error: unknown): void {
  log.error('uncaught error', {error});
  process.exit(EXIT_CODES.refused);
}

async function readInput(): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of process.stdin) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

const context: ProgramContext = {
  io: {
    out: text => void process.stdout.write(text),
    error: text => void process.stderr.write(text),
    isTerminal: process.stdout.isTTY,
    readInput,
  },
  signals: listener => {
    process.on('SIGTERM', listener);
    process.on('SIGINT', listener);
    return () => {
      process.off('SIGTERM', listener);
      process.off('SIGINT', listener);
    };
  },
  startEntry,
  startAgent,
  wait: milliseconds =>
    new Promise(resolve => setTimeout(resolve, milliseconds)),
};

// Writes fail after the reader is gone (a closed terminal, `| head`). An entry
// or agent must keep running without a reader of its log.
process.stderr.on('error', () => undefined);
process.stdout.on('error', () => undefined);
process.on('uncaughtException', exitOnError);
process.on('unhandledRejection', exitOnError);

void runProgram(context, process.argv.slice(2)).then(code => {
  process.exitCode = code;
  // Standard output may be a pipe; exiting at once would drop buffered output.
  process.stdout.write('', () => process.exit(code));
});
