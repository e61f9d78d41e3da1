import {execFileSync, spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  Server,
  ServerCredentials,
  status,
  type sendUnaryData,
  type ServerUnaryCall,
} from '@grpc/grpc-js';
import {
  PeerService,
  type DumpReply,
  type DumpRequest,
} from '@hibiscusbeam/wire';
import {
  afterAll,
  beforeAll,
  describe,
  expect,
  onTestFinished,
  test,
} from 'vitest';
import {writeKeyFile, OPERATOR_KEY, run} from './program_fixture';

const FOLDER = mkdtempSync(join(tmpdir(), 'hibiscusbeam-spawned-'));
const PROGRAM = join(FOLDER, 'hibiscusbeam.cjs');

afterAll(() => rmSync(FOLDER, {recursive: true}));

function spawnProgram(words: readonly string[], input = '') {
  return spawnSync(process.execPath, [PROGRAM, ...words], {
    input,
    encoding: 'utf8',
  });
}

describe('the bundled program', () => {
  beforeAll(() => {
    const script = `import('./scripts/bundle.mjs').then(({bundle}) => bundle('packages/hibiscusbeam/src/main.ts', process.argv[1]))`;
    execFileSync(process.execPath, ['-e', script, PROGRAM]);
  });

  test('prints its help and exits with 0', () => {
    const result = spawnProgram(['--help']);
    expect([result.status, result.stderr]).toEqual([0, '']);
    expect(result.stdout).toContain('Exit codes:');
  });

  test('prints errors to standard error and exits with 2', () => {
    const result = spawnProgram(['settings', 'check', 'lost.yaml']);
    expect([result.status, result.stdout]).toEqual([2, '']);
    expect(result.stderr).toContain('cannot be read: no such file');
  });

  test('reads a key from standard input', () => {
    const result = spawnProgram(['keys', 'hash'], OPERATOR_KEY);
    expect(result.stdout).toMatch(/^[0-9a-f]{64}\n$/);
  });

  test('survives a closed reader of standard error', () => {
    const file = join(FOLDER, 'short.key');
    writeFileSync(file, 'short');
    const command = `"${process.execPath}" "${PROGRAM}" keys hash < "${file}" 2> >(true); echo "ended with $?"`;
    const result = spawnSync('bash', ['-c', command], {encoding: 'utf8'});
    expect(result.stdout).toBe('ended with 2\n');
  });
});

/** Starts a server that answers dump requests; returns its address. */
async function serveDumps(): Promise<string> {
  const server = new Server();
  server.addService(PeerService, {
    session: () => undefined,
    pullConfiguration: () => undefined,
    dump: (
      call: ServerUnaryCall<DumpRequest, DumpReply>,
      answer: sendUnaryData<DumpReply>,
    ) => {
      const [key] = call.metadata.get('authorization');
      if (key === `Bearer ${OPERATOR_KEY}`) {
        answer(null, {json: '{"queues":[]}'});
      } else {
        answer({code: status.UNAUTHENTICATED, details: 'wrong key'});
      }
    },
  });
  const port = await new Promise<number>((resolve, reject) =>
    server.bindAsync(
      '127.0.0.1:0',
      ServerCredentials.createInsecure(),
      (error, bound) => (error === null ? resolve(bound) : reject(error)),
    ),
  );
  onTestFinished(() => server.forceShutdown());
  return `127.0.0.1:${port}`;
}

describe('a dump', () => {
  test('is printed as JSON, on one line for scripts', async () => {
    const address = await serveDumps();
    const dump = ['dump', address, '--key-file', writeKeyFile()];
    expect((await run(dump)).out).toBe('{\n  "queues": []\n}\n');
    expect((await run([...dump, '--json'])).out).toBe('{"queues":[]}\n');
  });

  test("requires the site's key", async () => {
    const address = await serveDumps();
    const file = join(FOLDER, 'other.key');
    writeFileSync(file, 'another-key-of-good-length');
    const result = await run(['dump', address, '--key-file', file]);
    expect([result.code, result.out]).toEqual([1, '']);
    expect(result.error).toContain("give the site's key with --key-file");
  });
});
