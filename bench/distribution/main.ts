import {parseOptions} from './options';
import {runBench} from './run';
import {runWorker} from './worker';
import {WORKER_ARGUMENT} from './workers';

async function main(): Promise<void> {
  const options = parseOptions(process.argv.slice(2));
  const result = await runBench(options);
  if (options.json) {
    console.log(JSON.stringify(result));
    return;
  }
  for (const [name, value] of Object.entries(result)) {
    console.log(`${name.padEnd(30)} ${value}`);
  }
}

if (process.argv[2] === WORKER_ARGUMENT) {
  runWorker();
} else {
  main().catch((error: unknown) => {
    console.error(error instanceof Error ? error.message : error);
    process.exitCode = 1;
  });
}
