import type {LogSettings} from '../types/settings';

/** Parts of a process; each line of the log begins with one of them. */
export type LogPart =
  | 'process'
  | 'callers'
  | 'operators'
  | 'admission'
  | 'routing'
  | 'requests'
  | 'configuration'
  | 'membership'
  | 'transfers'
  | 'activation'
  | 'lease'
  | 'platform'
  | 'target'
  | 'site';

/** Structured fields of a log line. */
export interface LogFields {
  readonly [name: string]: unknown;
}

/** Writes log lines of one part. Messages are short and contain no secrets. */
export interface Log {
  readonly debug: (message: string, fields?: LogFields) => void;
  readonly info: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly error: (message: string, fields?: LogFields) => void;
}

/** Options of `createLog`. */
export interface LogOptions {
  readonly settings: LogSettings;
  readonly part: LogPart;
  /** Texts that must never be written, such as the site's key. */
  readonly secrets?: readonly string[];
  /** Writes one line, including its line break; standard error if absent. */
  readonly write?: (line: string) => void;
}
