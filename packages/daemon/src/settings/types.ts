import type {Result} from 'ts-results';

/** A fault in a settings file, with its position. */
export interface SettingsFault {
  readonly kind:
    | 'malformedYaml'
    | 'unknownField'
    | 'missingField'
    | 'wrongValue'
    | 'clash'
    | 'unusableKeyFile'
    | 'unreadableFile';
  readonly file: string;
  /** Counted from 1. */
  readonly line: number;
  /** Counted from 1. */
  readonly column: number;
  /** Field names joined by dots, for example `keys.operators.0.name`. */
  readonly path: string;
  /** What is wrong and what is expected instead. */
  readonly detail: string;
}

/** Path of a field in the settings: names and list positions. */
export type FieldPath = readonly (string | number)[];

/** A fault whose position in the file is not yet known. */
export interface UnlocatedFault {
  readonly kind: SettingsFault['kind'];
  readonly path: FieldPath;
  readonly detail: string;
}

/** Reads a whole text file; the error is a short phrase. */
export type ReadText = (path: string) => Result<string, string>;
