import type {
  AgentSettings,
  EntrySettings,
  RunningProcess,
} from '@hibiscusbeam/daemon';
import type {ExitCode} from '../exit_codes';
import type {ProgramIo} from '../io';
import type {SignalSource} from '../process/supervise';

/** What the commands work with; tests put fakes in its place. */
export interface ProgramContext {
  readonly io: ProgramIo;
  readonly signals: SignalSource;
  readonly startEntry: (settings: EntrySettings) => Promise<RunningProcess>;
  readonly startAgent: (settings: AgentSettings) => Promise<RunningProcess>;
  readonly wait: (milliseconds: number) => Promise<void>;
}

/** Takes the exit code of the command that ran. */
export type FinishCommand = (code: ExitCode) => void;
