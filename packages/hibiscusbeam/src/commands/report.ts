import {EXIT_CODES, type ExitCode} from '../exit_codes';
import type {ProgramIo} from '../io';
import type {OperatorReply, OperatorResult} from '../operator/types';
import {describeError, exitCodeOf} from '../output/error_text';

/** Prints a reply as JSON or text, or its error; returns the exit code. */
export async function reportReply<Value>(
  io: ProgramIo,
  asJson: boolean,
  call: OperatorResult<Value>,
  format: (value: Value) => string,
): Promise<ExitCode> {
  const result = await call;
  if (result.ok) {
    io.out(`${textOf(result.val, asJson, format)}\n`);
    return EXIT_CODES.ok;
  }
  for (const line of describeError(result.val)) io.error(`${line}\n`);
  if (asJson) io.out(`${JSON.stringify(result.val)}\n`);
  return exitCodeOf(result.val);
}

function textOf<Value>(
  reply: OperatorReply<Value>,
  asJson: boolean,
  format: (value: Value) => string,
): string {
  return asJson ? JSON.stringify(reply.json) : format(reply.value);
}
