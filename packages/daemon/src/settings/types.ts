import type {Result} from 'ts-results';

/** One fault in a settings file, with the place to mend. */
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

/** Path of a field within the settings: names and positions in lists. */
export type FieldPath = readonly (string | number)[];

/** A fault whose place in the file is still to be looked up. */
export interface UnlocatedFault {
  readonly kind: SettingsFault['kind'];
  readonly path: FieldPath;
  readonly detail: string;
}

/** Reads a text file whole; the error is one short sentence. */
export type ReadText = (path: string) => Result<string, string>;
