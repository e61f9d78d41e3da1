import {Command} from 'commander';
import {startEngine} from './engine/engine';
import {startPlainService} from './plain_service/plain_service';
import {startPlatform} from './platform/platform';
import type {StandIn} from './shared/server';

interface CommonOptions {
  readonly listen: string;
  readonly name?: string;
}

/** Says where the stand-in listens, and closes it when asked to end. */
function announce(standIn: StandIn, name: string | undefined): void {
  const line = {listening: standIn.address, ...(name !== undefined && {name})};
  process.stdout.write(`${JSON.stringify(line)}\n`);
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => void standIn.close());
  }
}

function addCommand(
  program: Command,
  name: string,
  start: (listen: string) => Promise<StandIn>,
): void {
  program
    .command(name)
    .requiredOption('--listen <IP:port>', 'address to listen on; port 0 is any')
    .option('--name <NAME>', 'name to show in the line that says where')
    .action(async (options: CommonOptions) => {
      announce(await start(options.listen), options.name);
    });
}

const program = new Command('standins');
program.description('Stand-ins for the systems around hibiscusbeam.');
addCommand(program, 'platform', listen => startPlatform({listen}));
addCommand(program, 'engine', listen => startEngine({listen}));
addCommand(program, 'plain-service', listen => startPlainService({listen}));
program.parseAsync().catch((error: unknown) => {
  process.stderr.write(`standins: ${String(error)}\n`);
  process.exitCode = 1;
});
