import * as z from 'zod';

/** One line of a process's log. */
export interface LogLine {
  /** The file it stands in, and the process if its lines begin with a name. */
  readonly source: string;
  /** The process's own clock, ISO 8601. */
  readonly time: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const lineSchema = z.object({
  time: z.string(),
  message: z.string(),
  fields: z.record(z.string(), z.unknown()).default({}),
});

/**
 * Reads log lines in the order in which they stand. Words before a line's brace
 * name the process in logs that were collected into one file; numbers among
 * them are times. What is no line of ours is left out.
 */
export function* readLogLines(
  text: string,
  source: string,
): Generator<LogLine> {
  for (const line of text.split('\n')) {
    const jsonStart = line.indexOf('{');
    if (jsonStart === -1) continue;
    const parsed = lineSchema.safeParse(parseJson(line.slice(jsonStart)));
    if (!parsed.success) continue;
    const process = processName(line.slice(0, jsonStart));
    const fullSource = process === '' ? source : `${source} ${process}`;
    yield {source: fullSource, ...parsed.data};
  }
}

function processName(prefix: string): string {
  return prefix
    .split(/\s+/)
    .filter(word => word !== '' && Number.isNaN(Number(word)))
    .join(' ');
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    // A line that was cut, or text that only looks like one.
    return undefined;
  }
}
