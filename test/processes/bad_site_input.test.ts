import {spawn} from 'node:child_process';
import {dirname, join} from 'node:path';
import {status} from '@grpc/grpc-js';
import {
  CollectRequest,
  ServeFrame,
  ServeRequest,
  SessionMessage,
  TombstoneRequest,
} from '@hibiscusbeam/wire';
import * as fc from 'fast-check';
import {afterAll, afterEach, beforeAll, describe, expect, test} from 'vitest';
import {DEMO_MODEL, DEMO_SERVICE} from '../../demo/rollout';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import {propertySettings} from '../fixtures/property_settings';
import {createGoodCallsCheck} from './good_calls';
import {
  createSiteCaller,
  SITE_METHODS,
  withAuthorization,
  type SiteCaller,
  type SiteMethod,
} from './grpc_callers';
import {
  entryUrl,
  plainService,
  runsAt,
  startServedSite,
  type ServedSite,
} from './served_site';
import {
  SERVE,
  COLLECT,
  TOMBSTONE,
  SESSION,
  expectedWithoutKey,
  number,
  text,
} from './bad_site_values';

let site: ServedSite;
let callers: readonly SiteCaller[];

beforeAll(async () => {
  site = await startServedSite({entries: 1, engines: 1, plainServices: 1});
  const members = [...site.entries, ...site.engines, ...site.plainServices];
  callers = members.map(({spec}) => createSiteCaller(spec.siteAddress));
});

afterAll(async () => {
  for (const caller of callers ?? []) caller.close();
  await site?.stop();
});

// Checks after each series of bad input that the site still serves.
afterEach(createGoodCallsCheck(() => entryUrl(site, 0)));

const SITE_KEY = `Bearer ${DEMO_KEYS.site}`;

const method = fc.constantFrom<SiteMethod>(...SITE_METHODS);

/** Any process of the site, by position. */
const anyProcess = fc.nat(2);

function callAt(
  position: number,
  siteMethod: SiteMethod,
  content: Uint8Array | readonly Uint8Array[],
  authorization: string | undefined,
) {
  const caller = callers[position];
  if (caller === undefined) throw new Error(`no process ${position}`);
  return caller.call(
    siteMethod,
    (content instanceof Uint8Array ? [content] : content).map(bytes =>
      Buffer.from(bytes),
    ),
    withAuthorization(authorization),
  );
}

describe('the gRPC server', () => {
  test('refuses every method without a key or with an invalid one', async () => {
    const key = fc.oneof(
      fc.constantFrom(undefined, 'Bearer', `Bearer ${DEMO_KEYS.operator}`),
      fc.stringMatching(/^[ -~]{0,200}$/),
    );
    const content = fc.uint8Array({maxLength: 40});
    await fc.assert(
      fc.asyncProperty(anyProcess, method, content, key, async (...input) => {
        const [position, called, bytes, authorization] = input;
        const {code, messages} = await callAt(
          position,
          called,
          bytes,
          authorization,
        );
        const expected = expectedWithoutKey(position, called);
        const isMalformed = code === status.INTERNAL;
        if (!isMalformed) expect(code).toBe(expected);
        expect(messages).toEqual([]);
      }),
      propertySettings(150),
    );
  });

  test('keeps serving after malformed messages', async () => {
    const content = fc.uint8Array({maxLength: 300});
    await fc.assert(
      fc.asyncProperty(anyProcess, method, content, async (...input) => {
        const [position, called, bytes] = input;
        const {code} = await callAt(position, called, bytes, SITE_KEY);
        expect(code).not.toBe(status.DEADLINE_EXCEEDED);
        expect(code).not.toBe(status.UNAVAILABLE);
      }),
      propertySettings(150),
    );
    const huge = Buffer.alloc(5 * 1024 * 1024);
    const {code} = await callAt(1, SERVE, huge, SITE_KEY);
    expect(code).toBe(status.RESOURCE_EXHAUSTED);
  });

  test('starts no run for attempts of another incarnation', async () => {
    const [engine] = site.engines;
    if (engine === undefined) throw new Error('no engine');
    const before = {
      ...(await runsAt(engine)),
      ...(await runsAt(plainService(site))),
    };
    const position = fc.integer({min: 1, max: 2});
    await fc.assert(
      fc.asyncProperty(
        position,
        text,
        number.filter(incarnation => incarnation !== 1),
        text,
        async (target, attempt, incarnation, other) => {
          const body = Buffer.from(JSON.stringify({reference: 'unknown'}));
          const work = [
            {
              $case: 'generate' as const,
              generate: {
                model: DEMO_MODEL,
                versionDigest: '',
                prompt: other,
                maximumTokens: 4,
              },
            },
            {
              $case: 'call' as const,
              call: {service: DEMO_SERVICE, operation: other, body},
            },
          ][target - 1];
          const request = ServeRequest.fromPartial({
            attempt,
            incarnation,
            workspace: other,
            work,
            deadlineMilliseconds: 1_000,
            repeatable: target === 1,
          });
          const served = await callAt(
            target,
            SERVE,
            ServeRequest.encode(request).finish(),
            SITE_KEY,
          );
          const kinds = served.messages.map(
            message => ServeFrame.decode(message).frame?.$case,
          );
          expect(['failed', 'refused']).toContain(kinds[0] ?? 'refused');
          const identity = {attempt, incarnation};
          const collected = await callAt(
            target,
            COLLECT,
            CollectRequest.encode(identity).finish(),
            SITE_KEY,
          );
          expect(
            collected.messages.map(
              message => ServeFrame.decode(message).frame?.$case,
            ),
          ).toEqual(['failed']);
          const tombstoned = await callAt(
            target,
            TOMBSTONE,
            TombstoneRequest.encode(identity).finish(),
            SITE_KEY,
          );
          expect(tombstoned.code).toBe(status.OK);
        },
      ),
      propertySettings(100),
    );
    const after = {
      ...(await runsAt(engine)),
      ...(await runsAt(plainService(site))),
    };
    expect(after).toEqual(before);
  });

  test('keeps serving after a hello with arbitrary values', async () => {
    const hello = fc.record({
      instance: text,
      role: text,
      zone: text,
      region: text,
      address: text,
      incarnation: number,
      target: fc.option(
        fc.record({name: text, service: text, checksFencing: fc.boolean()}),
        {nil: undefined},
      ),
      callerAddress: text,
    });
    await fc.assert(
      fc.asyncProperty(anyProcess, hello, async (position, said) => {
        const message = SessionMessage.encode({
          message: {$case: 'hello', hello: said},
        }).finish();
        const {code} = await callAt(position, SESSION, message, SITE_KEY);
        expect(code).not.toBe(status.UNAVAILABLE);
        expect(code).not.toBe(status.DEADLINE_EXCEEDED);
      }),
      propertySettings(75),
    );
  });

  // Such a peer could be a process of another build; its hello is valid.
  test('keeps serving after heartbeats with arbitrary values', async () => {
    const double = fc.double();
    const small = fc.nat(2 ** 31);
    const heartbeat = fc.record({
      sequence: number,
      generation: number,
      leaving: fc.boolean(),
      target: fc.record({
        incarnation: number,
        loaded: fc.array(fc.record({model: text, versionDigest: text})),
        running: small,
        queued: small,
        slots: small,
        ageMilliseconds: small,
        cachedPrefixes: fc.array(small),
        progress: fc.array(
          fc.record({
            versionDigest: text,
            chunksHeld: small,
            chunksTotal: small,
            originBytes: number,
          }),
        ),
      }),
      uses: fc.array(fc.record({workspace: text, requestsPerSecond: double})),
    });
    const delta = fc.record({versionDigest: text, gained: fc.array(small)});
    const role = fc.constantFrom('entry', 'agent');
    await fc.assert(
      fc.asyncProperty(
        anyProcess,
        role,
        heartbeat,
        delta,
        async (position, said, beat, gained) => {
          const hello = {
            instance: `odd-${said}`,
            role: said,
            zone: 'bilbao-hall',
            region: 'east',
            address: '127.0.0.1:9',
            incarnation: 1,
            target: {name: 'odd', service: '', checksFencing: true},
            callerAddress: '',
          };
          const messages: readonly SessionMessage[] = [
            {message: {$case: 'hello', hello}},
            {message: {$case: 'heartbeat', heartbeat: beat}},
            {message: {$case: 'haveDelta', haveDelta: gained}},
          ];
          const {code} = await callAt(
            position,
            SESSION,
            messages.map(message => SessionMessage.encode(message).finish()),
            SITE_KEY,
          );
          expect(code).not.toBe(status.UNAVAILABLE);
          expect(code).not.toBe(status.DEADLINE_EXCEEDED);
        },
      ),
      propertySettings(75),
    );
  });
});

/** Dumps are read by people; a site of this size needs far less. */
const MAX_DUMP_LENGTH = 256 * 1024;

describe('hibiscusbeam dump', () => {
  test('shows an entry and an agent without a key and within bounds', async () => {
    const [engine] = site.engines;
    const [entry] = site.entries;
    if (engine === undefined || entry === undefined) throw new Error('site');
    for (const {siteAddress} of [entry.spec, engine.spec]) {
      const {output, code} = await dump(siteAddress, siteKeyFile());
      expect(code).toBe(0);
      const state = JSON.parse(output) as Record<string, unknown>;
      expect(state).toMatchObject({configuration: {}, requests: {}});
      expect(state.membership).toBeInstanceOf(Array);
      expect(output.length).toBeLessThan(MAX_DUMP_LENGTH);
      for (const key of allKeys()) expect(output).not.toContain(key);
    }
  });

  test('is refused with another key', async () => {
    const [entry] = site.entries;
    const address = entry?.spec.siteAddress ?? '';
    const {operatorKeyFile} = site.settings;
    const refused = await dump(address, operatorKeyFile);
    expect(refused.code).toBe(1);
    expect(refused.output).toBe('');
  });
});

function allKeys(): readonly string[] {
  const {site: siteKey, operator, workspaces} = DEMO_KEYS;
  return [siteKey, operator, ...Object.values(workspaces)];
}

function siteKeyFile(): string {
  return join(dirname(site.settings.operatorKeyFile), 'site.key');
}

/** Runs the command as an operator would. */
function dump(
  address: string,
  keyFile: string,
): Promise<{readonly code: number | null; readonly output: string}> {
  const command = ['dist/hibiscusbeam.cjs', 'dump', address];
  const child = spawn(
    process.execPath,
    [...command, '--key-file', keyFile, '--json'],
    {stdio: ['ignore', 'pipe', 'ignore']},
  );
  let output = '';
  child.stdout.on('data', (piece: Buffer) => (output += piece.toString()));
  return new Promise(resolve => {
    child.once('close', code => resolve({code, output}));
  });
}
