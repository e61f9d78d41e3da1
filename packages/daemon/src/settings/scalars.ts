import {isIP} from 'node:net';
import type {Bytes, Milliseconds} from '@hibiscusbeam/core';
import {Err, Ok, type Result} from 'ts-results';
import * as z from 'zod';
import type {SocketAddress} from '../types/settings';
import {parseDuration, parseSize} from './units';

// Names become segments of table keys, which are separated by `/`.
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const MAX_PORT = 65_535;

interface Range {
  readonly least: string;
  readonly most: string;
}

/** A name that is valid in a table key and in a metric tag. */
export const nameSchema = z
  .string({error: 'must be a name in letters and digits; quote a number'})
  .regex(NAME_PATTERN, {
    error:
      'must be 1 to 63 letters, digits, dots, dashes or underscores, beginning with a letter or digit',
  });

/** `IP:port`, with an IPv6 address in brackets. */
export const socketAddressSchema = z
  .string({error: 'must be an IP number and port such as 10.0.1.7:7400'})
  .transform((text, context): SocketAddress => {
    const address = parseSocketAddress(text);
    if (typeof address !== 'string') return address;
    return addIssue(context, address);
  });

/** Base URL of an HTTP interface whose host is an IP address. */
export const urlSchema = z
  .string({error: 'must be an address such as http://10.0.1.7:8080'})
  .transform((text, context): string => {
    const problem = findUrlProblem(text);
    if (problem === undefined) return text.replace(/\/+$/, '');
    return addIssue(context, problem);
  });

/** Parses a base URL; the error says what is wrong with it. */
export function parseBaseUrl(text: string): Result<string, string> {
  const parsed = urlSchema.safeParse(text);
  return parsed.success ? Ok(parsed.data) : Err(firstMessage(parsed.error));
}

/** Parses `IP:port`; the error says what is wrong with it. */
export function parseAddress(text: string): Result<SocketAddress, string> {
  const parsed = socketAddressSchema.safeParse(text);
  return parsed.success ? Ok(parsed.data) : Err(firstMessage(parsed.error));
}

/** SHA-256 in hexadecimal, as printed by `hibiscusbeam keys hash`. */
export const sha256Schema = z
  .string({error: 'must be a SHA-256 in quotes (see `hibiscusbeam keys hash`)'})
  .regex(/^[0-9a-f]{64}$/, {
    error:
      'must be 64 lower-case hexadecimal digits (see `hibiscusbeam keys hash`)',
  });

/** A duration with a unit, within bounds; resolves to milliseconds. */
export function durationSchema(range: Range) {
  return quantitySchema<Milliseconds>('a duration such as 4s', range, text =>
    parseDuration(text),
  );
}

/** A size with a unit, within bounds; resolves to bytes. */
export function sizeSchema(range: Range) {
  return quantitySchema<Bytes>('a size such as 16MiB', range, text =>
    parseSize(text),
  );
}

/** An integer within inclusive bounds. */
export function countSchema(least: number, most: number) {
  const error = `must be a whole number from ${least} to ${most}`;
  return z.int({error}).min(least, {error}).max(most, {error});
}

/** One of the given words. */
export function choiceSchema<const Words extends readonly string[]>(
  words: Words,
) {
  return z.enum(words, {error: `must be one of: ${words.join(', ')}`});
}

function quantitySchema<Unit extends number>(
  expected: string,
  range: Range,
  parse: (text: string) => Result<Unit, string>,
) {
  const least = parse(range.least).unwrap();
  const most = parse(range.most).unwrap();
  return z
    .string({error: `must be ${expected}, with its unit`})
    .transform((text, context): Unit => {
      const parsed = parse(text);
      if (parsed.err) return addIssue(context, parsed.val);
      if (parsed.val >= least && parsed.val <= most) return parsed.val;
      return addIssue(context, `must be from ${range.least} to ${range.most}`);
    });
}

function firstMessage(error: z.ZodError): string {
  return error.issues[0]?.message ?? 'is not valid';
}

function addIssue(context: z.RefinementCtx, message: string): never {
  context.addIssue({code: 'custom', message});
  return z.NEVER;
}

function parseSocketAddress(text: string): SocketAddress | string {
  const parts = /^(?:\[([^\]]*)\]|([^:[\]]*)):(\d{1,5})$/.exec(text);
  if (parts === null) {
    return 'must be an IP number and port such as 10.0.1.7:7400 or [fd00::7]:7400';
  }
  const host = parts[1] ?? parts[2] ?? '';
  const port = Number(parts[3]);
  const problem = findHostProblem(host);
  if (problem !== undefined) return problem;
  if (port < 1 || port > MAX_PORT) {
    return `has port ${port}; must be from 1 to ${MAX_PORT}`;
  }
  return {host, port};
}

/**
 * A process announces the address that it listens on, so a wildcard address is
 * refused: no other process could connect to it.
 */
function findHostProblem(host: string): string | undefined {
  if (isIP(host) === 0) {
    return `has the host "${host}"; must be an IP number, since host names are not looked up`;
  }
  if (/^[0:.]+$/.test(host)) {
    return `has the host "${host}"; must be the address that others connect to`;
  }
  return undefined;
}

function findUrlProblem(text: string): string | undefined {
  const parts = /^https?:\/\/(\[[^\]]*\]|[^/:?#]*)(:\d{1,5})?(\/[^?#]*)?$/.exec(
    text,
  );
  if (parts === null || !URL.canParse(text)) {
    return 'must be an http or https address such as http://10.0.1.7:8080, without user, query or fragment';
  }
  return findHostProblem((parts[1] ?? '').replace(/^\[|\]$/g, ''));
}
