import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {runProgram, type ExitCode, type ProgramContext} from 'hibiscusbeam';
import {onTestFinished} from 'vitest';

/** The key that {@link writeKeyFile} writes. */
export const OPERATOR_KEY = 'an-operator-key-of-good-length';

/** Writes a file with the operator's key; returns its path. */
export function writeKeyFile(): string {
  const folder = mkdtempSync(join(tmpdir(), 'hibiscusbeam-command-'));
  onTestFinished(() => rmSync(folder, {recursive: true}));
  const file = join(folder, 'operator.key');
  writeFileSync(file, `${OPERATOR_KEY}\n`);
  return file;
}

/** Exit code and output of one run of the program. */
export interface ProgramRun {
  readonly code: ExitCode;
  readonly out: string;
  readonly error: string;
}

/** Runs the program in the process of the test. */
export async function run(
  programArguments: readonly string[],
  overrides: Partial<ProgramContext> = {},
  input = '',
): Promise<ProgramRun> {
  const out: string[] = [];
  const error: string[] = [];
  const rejectUnexpected = () => Promise.reject(new Error('not used'));
  const context: ProgramContext = {
    io: {
      out: text => void out.push(text),
      error: text => void error.push(text),
      isTerminal: false,
      readInput: () => Promise.resolve(input),
    },
    signals: () => () => undefined,
    startEntry: rejectUnexpected,
    startAgent: rejectUnexpected,
    wait: () => Promise.resolve(),
    ...overrides,
  };
  const code = await runProgram(context, programArguments);
  return {code, out: out.join(''), error: error.join('')};
}

/** Starts an HTTP server in place of an entry; returns its base URL. */
export async function serveEntry(
  answer: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<string> {
  const server = createServer(answer);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  onTestFinished(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Returns a handler that answers each request with this status and JSON. */
export function replyWith(status: number, body: unknown) {
  return (_request: IncomingMessage, response: ServerResponse) => {
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  };
}
