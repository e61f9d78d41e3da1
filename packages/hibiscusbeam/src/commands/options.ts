import {
  parseAddress,
  parseBaseUrl,
  parseDuration,
  readTextFile,
} from '@hibiscusbeam/daemon';
import {InvalidArgumentError, Option, type Command} from 'commander';
import {
  createOperatorClient,
  type OperatorClient,
} from '../operator/operator_client';

/** Options of every command that sends requests to an entry. */
export interface EntryOptions {
  readonly entry: string;
  readonly keyFile: string;
  readonly json: boolean;
}

const PLAN_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;
const MIN_INTERVAL_MILLISECONDS = 100;

/** Adds the options of {@link EntryOptions}. */
export function addEntryOptions(command: Command): Command {
  return command
    .addOption(
      new Option(
        '--entry <url>',
        'URL of the entry, such as http://10.0.1.7:8400',
      )
        .env('HIBISCUSBEAM_ENTRY')
        .argParser(toBaseUrl)
        .makeOptionMandatory(),
    )
    .addOption(
      new Option('--key-file <file>', "file with the operator's key")
        .env('HIBISCUSBEAM_KEY_FILE')
        .makeOptionMandatory(),
    )
    .option('--json', "print the entry's reply as JSON, for scripts", false);
}

/** Creates a client for the entry that the options name. */
export function openClient(options: EntryOptions): OperatorClient {
  const key = readKey(options.keyFile, '--key-file');
  return createOperatorClient({entry: options.entry, key});
}

/** Reads the key in `file`; throws InvalidArgumentError if there is none. */
export function readKey(file: string, option: string): string {
  const text = readOptionFile(file, option).trim();
  if (/^[\x21-\x7e]+$/.test(text)) return text;
  throw new InvalidArgumentError(
    `${option}: ${file} must hold one key in plain text`,
  );
}

/** Reads a text file; throws InvalidArgumentError if it cannot be read. */
export function readOptionFile(file: string, option: string): string {
  const text = readTextFile(file);
  if (text.ok) return text.val;
  throw new InvalidArgumentError(
    `${option}: ${file} cannot be read: ${text.val}`,
  );
}

/** Validates a plan id, which becomes part of a URL. */
export function toPlanId(text: string): string {
  if (PLAN_ID_PATTERN.test(text)) return text;
  throw new InvalidArgumentError('must be an id as `intent list` prints it');
}

/** Validates an address of the form `IP:port`. */
export function toAddress(text: string): string {
  const address = parseAddress(text);
  if (address.ok) return text;
  throw new InvalidArgumentError(address.val);
}

/** Parses a duration with its unit; returns milliseconds. */
export function toInterval(text: string): number {
  const duration = parseDuration(text);
  if (duration.err) throw new InvalidArgumentError(duration.val);
  if (duration.val >= MIN_INTERVAL_MILLISECONDS) return duration.val;
  throw new InvalidArgumentError('must be at least 100ms');
}

function toBaseUrl(text: string): string {
  const url = parseBaseUrl(text);
  if (url.ok) return url.val;
  throw new InvalidArgumentError(url.val);
}
