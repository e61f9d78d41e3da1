/** Exit codes of the program; docs/command_line.md lists the same. */
export const EXIT_CODES = {
  ok: 0,
  refused: 1,
  usage: 2,
  unreachable: 3,
  outcomeUnknown: 4,
} as const;

/** One of {@link EXIT_CODES}. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** What each exit code means. */
export const EXIT_CODE_MEANINGS: {readonly [code in ExitCode]: string} = {
  0: 'done',
  1: 'refused by the system, or a process that failed',
  2: 'wrong usage or settings; nothing was sent',
  3: 'system unreachable; nothing was changed',
  4: 'outcome unknown; ask again with the same plan id',
};
