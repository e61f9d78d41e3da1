import * as z from 'zod';

/** One line of a process's log. */
export interface LogLine {
  /**
   * Name of the file, then of the process if the line has a prefix with one.
   */
  readonly source: string;
  /** Time by the process's own clock, in ISO 8601. */
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
 * Parses log lines in file order. In logs that were collected into one file,
 * each line has a prefix before its JSON: words name the process, numbers are
 * times and are ignored. Lines of other formats are skipped.
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
    // A truncated line, or other text with a brace.
    return undefined;
  }
}
