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

/** What a line says besides its sentence. */
export interface LogFields {
  readonly [name: string]: unknown;
}

/** Writes lines of one part. A sentence is short and names no secret. */
export interface Log {
  readonly debug: (message: string, fields?: LogFields) => void;
  readonly info: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly error: (message: string, fields?: LogFields) => void;
}

/** What a log is made of. */
export interface LogOptions {
  readonly settings: LogSettings;
  readonly part: LogPart;
  /** Texts that must never be written, such as the site's key. */
  readonly secrets?: readonly string[];
  /** Takes one line with its line end; standard error if absent. */
  readonly write?: (line: string) => void;
}
