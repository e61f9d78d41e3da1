/** Where the program writes to and reads from. */
export interface ProgramIo {
  readonly out: (text: string) => void;
  readonly error: (text: string) => void;
  /** Whether `out` is a terminal, which gets progress bars. */
  readonly isTerminal: boolean;
  /** Standard input, read whole. */
  readonly readInput: () => Promise<string>;
}
