import {writeFileSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {describe, expect, test} from 'vitest';
import {
  writeKeyFile,
  OPERATOR_KEY,
  replyWith,
  run,
  serveEntry,
} from './program_fixture';

const SUBJECT = {kind: 'target', name: 'engine-3'};

const PLAN = {
  planId: 'p-7f3a',
  summary: 'repair notes of December',
  operator: 'ainhoa',
  plannedAt: 0,
  base: 6,
  changes: [{subject: SUBJECT, before: 'v1', after: 'v2\u001b[2J'}],
  originBytes: 3 * 1_024 ** 3,
  expectedSeconds: 125,
  capacity: [{model: 'repair-notes', before: 6, lowest: 5, after: 6}],
  owners: [{subject: SUBJECT, before: 'older-system', after: 'hibiscusbeam'}],
  warnings: [],
};

const options = (entry: string) => [
  '--entry',
  entry,
  '--key-file',
  writeKeyFile(),
];

describe('operators', () => {
  test('state an intent and read its plan', async () => {
    const received: string[] = [];
    const entry = await serveEntry((request, response) => {
      const {method, url, headers} = request;
      received.push(`${method} ${url} ${headers.authorization}`);
      received.push(`${headers['content-type']}`);
      request.on('data', (piece: Buffer) => received.push(piece.toString()));
      request.on('end', () =>
        replyWith(200, {plan: PLAN, state: {kind: 'planned'}})(
          request,
          response,
        ),
      );
    });
    const file = `${writeKeyFile()}.yaml`;
    writeFileSync(file, 'summary: x\n');
    const result = await run(['intent', 'plan', file, ...options(entry)]);
    expect(result.code).toBe(0);
    expect(received).toEqual([
      `POST /v1/intents/plan Bearer ${OPERATOR_KEY}`,
      'application/yaml',
      'summary: x\n',
    ]);
    expect(result.out).toBe(
      [
        'Plan p-7f3a: repair notes of December',
        'by ainhoa, on generation 6, planned',
        '',
        'Changes',
        'WHAT             BEFORE  AFTER',
        'target engine-3  v1      v2 [2J',
        '',
        'Origin bytes 3.0 GiB, expected time 2 m 5 s',
        '',
        'Serving targets',
        'MODEL         BEFORE  FEWEST MEANWHILE  AFTER',
        'repair-notes  6       5                 6',
        '',
        'Owners',
        'WHAT             BEFORE        AFTER',
        'target engine-3  older-system  hibiscusbeam',
        '',
      ].join('\n'),
    );
  });

  test('get an unchanged reply with --json', async () => {
    const reply = {planId: 'p-1', generation: 7, wasConfirmed: true, more: [1]};
    const entry = await serveEntry(replyWith(200, reply));
    const command = ['intent', 'confirm', 'p-1', '--json', ...options(entry)];
    const result = await run(command);
    expect(JSON.parse(result.out)).toEqual(reply);
  });

  test('see the changes that overtook their plan', async () => {
    const entry = await serveEntry(
      replyWith(409, {
        error: 'overtaken',
        detail: 'another change came first',
        advice: 'plan again',
        others: [
          {
            generation: 7,
            planId: 'p-2',
            summary: 'leave engine-3',
            operator: 'iker',
            shared: [SUBJECT],
          },
        ],
      }),
    );
    const result = await run(['intent', 'confirm', 'p-1', ...options(entry)]);
    expect(result.code).toBe(1);
    expect(result.error.split('\n')).toEqual([
      'refused: overtaken: another change came first',
      '  generation 7: leave engine-3, plan p-2 by iker (also changes target engine-3)',
      'plan again',
      '',
    ]);
  });

  // The entry puts a confirmed plan into force and fails before it replies. An
  // operator who is told "unreachable" would plan the same rollout again, and
  // it would be done twice.
  test('are told "outcome unknown" if the reply to a change is lost', async () => {
    const entry = await serveEntry(request => void request.socket.destroy());
    for (const command of ['confirm', 'abandon']) {
      const result = await run(['intent', command, 'p-1', ...options(entry)]);
      expect(result.code).toBe(4);
      expect(result.error).toContain('ask again with the same plan id');
    }
    const shown = await run(['intent', 'show', 'p-1', ...options(entry)]);
    expect(shown.code).toBe(3);
  });

  test.each([
    ['a failure without a reason', 500, {}, 4],
    ['a malformed reply', 200, {confirmed: 'yes'}, 4],
    [
      'an outcome that the entry does not know',
      503,
      {error: 'outcomeUnknown'},
      4,
    ],
    ['a platform that is down', 503, {error: 'platformUnavailable'}, 3],
    ['an entry that is starting', 503, {error: 'starting'}, 3],
    ['a wrong key', 403, {error: 'wrongKey'}, 1],
  ])('get the exit code for %s', async (_name, status, body, code) => {
    const entry = await serveEntry(replyWith(status, body));
    const result = await run(['intent', 'confirm', 'p-1', ...options(entry)]);
    expect(result.code).toBe(code);
  });

  test('are told that nothing changed if no entry listens', async () => {
    const server = createServer().listen(0, '127.0.0.1');
    await new Promise(resolve => server.once('listening', resolve));
    const {port} = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    const entry = `http://127.0.0.1:${port}`;
    const result = await run(['intent', 'confirm', 'p-1', ...options(entry)]);
    expect(result.code).toBe(3);
    expect(result.error).toContain('nothing was changed');
  });

  test('watch versions until every instance is done', async () => {
    let requestCount = 0;
    const entry = await serveEntry((request, response) => {
      requestCount += 1;
      const version = {
        model: 'repair-notes',
        label: '2026-12-02.1',
        versionDigest: `sha256:${'0'.repeat(64)}`,
        instancesDone: requestCount,
        instancesTotal: 2,
        chunksHeld: 300,
        chunksTotal: 512,
        originBytes: 1_536,
        expectedEnd: requestCount === 1 ? 4_000 : null,
      };
      const body = {generation: 7, versions: [version]};
      // The request is retried while an entry is replaced.
      if (requestCount === 2) request.socket.destroy();
      else replyWith(200, body)(request, response);
    });
    const result = await run(['status', '--watch', ...options(entry)]);
    expect([result.code, requestCount]).toEqual([0, 3]);
    expect(
      result.out.split('\n').filter(line => line.startsWith('rep')),
    ).toEqual([
      'repair-notes  2026-12-02.1  sha256:000000000000  1/2        300/512  1.5 KiB  in 4 s',
      'repair-notes  2026-12-02.1  sha256:000000000000  3/2        300/512  1.5 KiB  done',
    ]);
  });
});
