export {EXIT_CODES, EXIT_CODE_MEANINGS, type ExitCode} from './exit_codes';
export {commandsOf, createProgram, runProgram} from './program';
export type {ProgramContext} from './commands/context';
