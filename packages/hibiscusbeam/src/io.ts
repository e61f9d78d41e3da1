/** Input and output of the program. */
export interface ProgramIo {
  readonly out: (text: string) => void;
  readonly error: (text: string) => void;
  /** Whether `out` is a terminal; progress is shown only there. */
  readonly isTerminal: boolean;
  /** Reads standard input to its end. */
  readonly readInput: () => Promise<string>;
}
