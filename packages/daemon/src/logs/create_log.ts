import {Logger, type ISettingsParam} from 'tslog';
import {createMask} from './mask';
import {plainText, toPlain} from './plain_values';
import type {Log, LogFields, LogOptions} from './types';

const LEVELS = ['debug', 'info', 'warn', 'error'] as const;

interface Line {
  /** The message with the prefix of its part. */
  readonly message: string;
  readonly fields: unknown;
}

/** Creates the log of one part of the process, by default to standard error. */
export function createLog(options: LogOptions): Log {
  const logger = new Logger<Line>(loggerSettings(options));
  const mask = createMask(options.secrets ?? []);
  const minLevel = LEVELS.indexOf(options.settings.level);
  const at = (level: (typeof LEVELS)[number]) => {
    if (LEVELS.indexOf(level) < minLevel) return () => undefined;
    return (text: string, fields: LogFields = {}) => {
      const message = `[${options.part}] ${plainText(text, mask)}`;
      logger[level]({message, fields: toPlain(fields, mask)});
    };
  };
  return {
    debug: at('debug'),
    info: at('info'),
    warn: at('warn'),
    error: at('error'),
  };
}

function loggerSettings(options: LogOptions): ISettingsParam<Line> {
  const write = options.write ?? (line => void process.stderr.write(line));
  const format = options.settings.format === 'json' ? formatJson : formatPretty;
  return {
    // Keeps tslog from printing to standard output; the transport below writes.
    type: 'hidden',
    hideLogPositionForProduction: true,
    attachedTransports: [
      line => {
        const time = line._meta?.date.toISOString() ?? '';
        const level = line._meta?.logLevelName.toLowerCase() ?? '';
        write(`${format(time, level, line)}\n`);
      },
    ],
  };
}

function formatJson(time: string, level: string, line: Line): string {
  return JSON.stringify({
    time,
    level,
    message: line.message,
    fields: line.fields,
  });
}

function formatPretty(time: string, level: string, line: Line): string {
  // Escapes line breaks, since one in an external name could forge a log line.
  const message = JSON.stringify(line.message).slice(1, -1);
  const fields = Object.entries(line.fields as object)
    .map(([name, value]) => ` ${name}=${JSON.stringify(value)}`)
    .join('');
  return `${time} ${level.toUpperCase().padEnd(5)} ${message}${fields}`;
}
