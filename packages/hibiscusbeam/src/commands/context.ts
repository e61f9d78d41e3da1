import type {
  AgentSettings,
  EntrySettings,
  RunningProcess,
} from '@hibiscusbeam/daemon';
import type {ExitCode} from '../exit_codes';
import type {ProgramIo} from '../io';
import type {SignalSource} from '../process/supervise';

/** Dependencies of the commands; tests replace them by fakes. */
export interface ProgramContext {
  readonly io: ProgramIo;
  readonly signals: SignalSource;
  readonly startEntry: (settings: EntrySettings) => Promise<RunningProcess>;
  readonly startAgent: (settings: AgentSettings) => Promise<RunningProcess>;
  readonly wait: (milliseconds: number) => Promise<void>;
}

/** Receives the exit code of the command. */
export type FinishCommand = (code: ExitCode) => void;
