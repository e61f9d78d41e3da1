import {Command, InvalidArgumentError} from 'commander';

/** A site to move a version on, from the command line. */
export interface WeightsOptions {
  /** Engines that want the version when it is named. */
  readonly engines: number;
  /** Engines that join while these already hold it; one each 500 ms. */
  readonly joining: number;
  readonly zones: number;
  /** Megabits a second, each way, of an engine's machine. */
  readonly link: number;
  /** Megabits a second of the origin. */
  readonly origin: number;
  readonly chunks: number;
  /** Bytes. */
  readonly chunkSize: number;
  /** One way, in milliseconds. */
  readonly latency: number;
  readonly seeds: number;
  /** Changes of the policy, as JSON by its fields. */
  readonly policy: string;
}

/** Reads the command line; ends the process with an error for a bad option. */
export function readOptions(
  programArguments: readonly string[],
): WeightsOptions {
  const command = new Command('bench:weights')
    .description('how long a version takes to all engines of a site')
    .option('--engines <count>', 'engines that want it', count, 19)
    .option('--joining <count>', 'engines that join later', count, 8)
    .option('--zones <count>', 'zones', count, 3)
    .option('--link <megabits>', 'link of an engine', positive, 6.58)
    .option('--origin <megabits>', 'link of the origin', positive, 15)
    .option('--chunks <count>', 'chunks of a version', count, 48)
    .option('--chunk-size <bytes>', 'bytes of a chunk', count, 49_152)
    .option('--latency <ms>', 'between zones, one way', positive, 2.8)
    .option('--seeds <count>', 'runs of each case', count, 10)
    .option('--policy <json>', 'fields of the policy to change', '{}');
  command.parse(programArguments, {from: 'user'});
  return command.opts<WeightsOptions>();
}

function positive(text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value > 0) return value;
  throw new InvalidArgumentError('a number above 0 is expected');
}

function count(text: string): number {
  const value = positive(text);
  if (Number.isInteger(value)) return value;
  throw new InvalidArgumentError('a whole number is expected');
}
