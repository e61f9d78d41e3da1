import {createLog, type Log, type LogPart} from '@hibiscusbeam/daemon';
import type {FleetSettings} from '../settings';

/**
 * Maximum size of log lines that wait to be read. If the reader stops, lines
 * beyond it would fill the memory or block the process.
 */
const MAX_PENDING_BYTES = 1024 * 1024;

/**
 * Maximum number of lines written in a second; further ones are dropped and
 * counted.
 */
const MAX_LINES_PER_SECOND = 400;

/**
 * Writes log lines without waiting; lines that do not fit are dropped and
 * counted.
 */
export interface LogWriter {
  readonly write: (line: string) => void;
  /** Number of lines dropped since the start. */
  readonly dropped: () => number;
}

/** Creates a writer to standard output. `now` is in milliseconds. */
export function createLogWriter(
  now: () => number,
  output: NodeJS.WriteStream = process.stdout,
): LogWriter {
  let dropped = 0;
  let second = 0;
  let linesInSecond = 0;

  function mayWrite(): boolean {
    const current = Math.floor(now() / 1_000);
    if (current !== second) linesInSecond = 0;
    second = current;
    linesInSecond += 1;
    if (linesInSecond > MAX_LINES_PER_SECOND) return false;
    return output.writableLength < MAX_PENDING_BYTES;
  }

  return {
    write: line => {
      if (mayWrite()) output.write(line);
      else dropped += 1;
    },
    dropped: () => dropped,
  };
}

/** Opens the logs of a process, one for each part. */
export function createProcessLogs(
  settings: FleetSettings,
  writer: LogWriter,
): (part: LogPart) => Log {
  return part =>
    createLog({
      settings: {level: settings.logLevel, format: 'json'},
      part,
      write: writer.write,
    });
}
