import {Command, InvalidArgumentError, Option} from 'commander';
import {startEngine} from './engine/engine';
import type {EngineOptions} from './engine/engine';
import {startOlderSystem} from './older_system/older_system';
import type {
  OlderSystemEngine,
  OlderSystemOptions,
} from './older_system/older_system';
import {startPlainService} from './plain_service/plain_service';
import {startPlatform} from './platform/platform';
import type {StandIn, StandInOptions} from './shared/server';

/** Options of every command. */
interface CommonOptions extends StandInOptions {
  readonly name?: string;
}

function parseCount(text: string): number {
  const count = Number(text);
  if (Number.isInteger(count) && count >= 0) return count;
  throw new InvalidArgumentError('a whole number is expected');
}

function parseEngine(
  text: string,
  previous: readonly OlderSystemEngine[] = [],
): readonly OlderSystemEngine[] {
  const [target, address] = text.split('=');
  if (target === undefined || address === undefined) {
    throw new InvalidArgumentError('TARGET=IP:port is expected');
  }
  return [...previous, {target, address}];
}

/** Prints the stand-in's address; closes the stand-in on SIGINT or SIGTERM. */
function reportListening(standIn: StandIn, name: string | undefined): void {
  const line = {listening: standIn.address, ...(name !== undefined && {name})};
  process.stdout.write(`${JSON.stringify(line)}\n`);
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => void standIn.close());
  }
}

function addCommand<Options extends CommonOptions>(
  program: Command,
  name: string,
  start: (options: Options) => Promise<StandIn>,
): Command {
  return program
    .command(name)
    .requiredOption('--listen <IP:port>', 'address to listen on; port 0 is any')
    .option('--name <NAME>', 'name to show in the line that says where')
    .action(async (options: Options) => {
      reportListening(await start(options), options.name);
    });
}

const program = new Command('standins');
program.description('Stand-ins for the systems around hibiscusbeam.');

addCommand(program, 'platform', startPlatform);

addCommand<EngineOptions>(program, 'engine', startEngine)
  .addOption(
    new Option('--fencing <support>', 'whether old fencing numbers are refused')
      .choices(['checked', 'ignored'])
      .default('checked'),
  )
  .option('--slots <count>', 'runs in the batch at once', parseCount)
  .option('--queue-limit <count>', 'requests that may wait', parseCount)
  .option('--cache-capacity <count>', 'prefixes in the cache', parseCount)
  .option('--load-time <milliseconds>', 'time to load', parseCount)
  .option('--token-time <milliseconds>', 'time of a step', parseCount)
  .option('--first-token-time <milliseconds>', 'time to read', parseCount)
  .option('--trust-chunks', 'load without checking the content of chunks');

addCommand(program, 'plain-service', startPlainService);

addCommand<OlderSystemOptions>(program, 'older-system', startOlderSystem)
  .requiredOption('--platform <IP:port>', 'address of the platform')
  .requiredOption('--engines <TARGET=IP:port>', 'repeat for more', parseEngine)
  .option('--services <TARGET=IP:port>', 'repeat for more', parseEngine)
  .option('--reorder', 'order again in each round what is loaded')
  .requiredOption('--model <model>', 'the model it serves')
  .requiredOption('--label <label>', 'the label of the version it serves')
  .option('--workspaces <names...>', 'workspaces it sends requests for', [])
  .option('--period <milliseconds>', 'time between rounds', parseCount);

program.parseAsync().catch((error: unknown) => {
  process.stderr.write(`standins: ${String(error)}\n`);
  process.exitCode = 1;
});
