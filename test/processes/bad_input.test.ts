import {connect, type Socket} from 'node:net';
import * as fc from 'fast-check';
import {afterAll, afterEach, beforeAll, describe, expect, test} from 'vitest';
import {DEMO_MODEL, DEMO_OPERATION, DEMO_SERVICE} from '../../demo/rollout';
import {exchange, type HttpReply} from '../../demo/site/http';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import {propertySettings} from '../fixtures/property_settings';
import {generate} from './callers';
import {createGoodCallsCheck} from './good_calls';
import {
  entryUrl,
  plainService,
  runsAt,
  setFaults,
  startServedSite,
  type ServedSite,
} from './served_site';
import {printable, oddName, encoded, wrongGenerate} from './bad_input_values';

const BODY_LIMIT = 64 * 1024;
const MAX_WAITING = 4;

let site: ServedSite;
let url: string;

beforeAll(async () => {
  site = await startServedSite({
    entries: 1,
    engines: 1,
    plainServices: 1,
    limits: {requestBody: '64KiB', waiting: MAX_WAITING},
  });
  url = entryUrl(site, 0);
});

afterAll(() => site?.stop());

// Checks after each series of bad input that the site still serves.
afterEach(createGoodCallsCheck(() => url));

const CALLER = `Bearer ${DEMO_KEYS.workspaces['shop-counter']}`;
const OPERATOR = `Bearer ${DEMO_KEYS.operator}`;

const CALLER_ROUTES = [
  `POST /v1/models/${DEMO_MODEL}/generate`,
  `POST /v1/services/${DEMO_SERVICE}/calls/${DEMO_OPERATION}`,
  'GET /v1/entries',
] as const;
const OPERATOR_ROUTES = [
  'POST /v1/intents/plan',
  'GET /v1/plans',
  'GET /v1/plans/plan-1',
  'POST /v1/plans/plan-1/confirm',
  'DELETE /v1/plans/plan-1',
  'GET /v1/status',
] as const;

function send(
  route: string,
  body: unknown,
  headers: Readonly<Record<string, string>>,
): Promise<HttpReply> {
  const [method = 'GET', path = '/'] = route.split(' ');
  const sent = method === 'POST' ? body : undefined;
  return exchange(method as 'GET', `${url}${path}`, sent, headers);
}

/** The next data on a connection as text; empty if it closes first. */
function nextData(socket: Socket): Promise<string> {
  return new Promise(resolve => {
    socket.once('data', (bytes: Buffer) => resolve(bytes.toString()));
    socket.once('close', () => resolve(''));
  });
}

describe('the HTTP server', () => {
  test('refuses callers and operators without a key, or with a wrong one', async () => {
    const routes = fc.constantFrom(...CALLER_ROUTES, ...OPERATOR_ROUTES);
    const keyless = fc.constantFrom(undefined, '', 'Bearer', 'Basic abc');
    await fc.assert(
      fc.asyncProperty(routes, keyless, fc.jsonValue(), async (...input) => {
        const [route, authorization, body] = input;
        const headers: Record<string, string> =
          authorization === undefined ? {} : {authorization};
        expect((await send(route, body, headers)).status).toBe(401);
      }),
      propertySettings(100),
    );
    const wrong = fc.stringMatching(/^[!-~]{1,200}$/);
    await fc.assert(
      fc.asyncProperty(routes, wrong, async (route, key) => {
        const headers = {authorization: `Bearer ${key}`};
        expect((await send(route, {}, headers)).status).toBe(403);
      }),
      propertySettings(100),
    );
    for (const route of OPERATOR_ROUTES) {
      expect((await send(route, {}, {authorization: CALLER})).status).toBe(403);
    }
    for (const route of CALLER_ROUTES) {
      const headers = {authorization: OPERATOR};
      expect((await send(route, {}, headers)).status).toBe(403);
    }
  });

  test('refuses invalid generate requests', async () => {
    const [route] = CALLER_ROUTES;
    const headers = {authorization: CALLER};
    await fc.assert(
      fc.asyncProperty(wrongGenerate, async body => {
        expect((await send(route, JSON.stringify(body), headers)).status).toBe(
          400,
        );
      }),
      propertySettings(150),
    );
    const notJson = printable.filter(text => !isJson(text));
    await fc.assert(
      fc.asyncProperty(notJson, async body => {
        expect((await send(route, body, headers)).status).toBe(400);
      }),
      propertySettings(75),
    );
  });

  test('refuses bodies that are too deep, too large or of another type', async () => {
    const headers = {authorization: CALLER, 'idempotency-key': 'k'};
    const posts = fc.constantFrom(CALLER_ROUTES[0], CALLER_ROUTES[1]);
    const depth = fc.integer({min: 33, max: 5_000});
    await fc.assert(
      fc.asyncProperty(posts, depth, async (route, nested) => {
        const body = '['.repeat(nested) + ']'.repeat(nested);
        expect((await send(route, body, headers)).status).toBe(400);
      }),
      propertySettings(40),
    );
    const excess = fc.integer({min: 1, max: 1_000_000});
    await fc.assert(
      fc.asyncProperty(posts, excess, async (route, more) => {
        const body = JSON.stringify({prompt: 'p'.repeat(BODY_LIMIT + more)});
        expect((await send(route, body, headers)).status).toBe(413);
      }),
      propertySettings(20),
    );
    const types = fc.constantFrom('text/plain', 'application/xml', 'x/y');
    await fc.assert(
      fc.asyncProperty(posts, types, printable, async (route, type, body) => {
        const reply = await send(route, `x${body}`, {
          ...headers,
          'content-type': type,
        });
        expect(reply.status).toBe(415);
      }),
      propertySettings(40),
    );
  });

  // A body is too large, and the entry answers once it has read the length. If
  // it closed the connection with unread bytes, the rest of the body would
  // cause a reset, and the caller would see a broken connection instead of a
  // 413.
  test('lets a refused caller send the rest of its body', async () => {
    const {hostname, port} = new URL(url);
    const body = Buffer.alloc(BODY_LIMIT * 4, 'p');
    const head = [
      `POST /v1/models/${DEMO_MODEL}/generate HTTP/1.1`,
      `Host: ${hostname}`,
      `Authorization: ${CALLER}`,
      'Content-Type: application/json',
      `Content-Length: ${body.length}`,
    ].join('\r\n');
    const socket = connect(Number(port), hostname);
    const errors: Error[] = [];
    socket.on('error', error => errors.push(error));
    socket.write(`${head}\r\n\r\n`);
    const answer = await nextData(socket);
    expect(answer).toMatch(/^HTTP\/1.1 413 /);
    socket.write(body);
    // Another request succeeds only if the connection was kept open.
    socket.write(`GET /v1/entries HTTP/1.1\r\nHost: ${hostname}\r\n\r\n`);
    expect(await nextData(socket)).toMatch(/^HTTP\/1.1 \d+ /);
    expect(errors).toEqual([]);
    socket.destroy();
  });

  // The body of a call is forwarded to the service as JSON. Any other body
  // would be claimed under its key and refused by the service, and its outcome
  // would stay unknown.
  test('forwards no call whose body is not JSON', async () => {
    const route = CALLER_ROUTES[1];
    const before = await runsAt(plainService(site));
    const body = fc.constantFrom('a: 1', 'reference: yaml', '- x', '');
    const type = fc.constantFrom('application/yaml', 'text/yaml');
    await fc.assert(
      fc.asyncProperty(
        body,
        type,
        fc.uuid(),
        async (text, contentType, key) => {
          const reply = await send(route, text, {
            authorization: CALLER,
            'idempotency-key': key,
            'content-type': contentType,
          });
          expect([400, 415]).toContain(reply.status);
        },
      ),
      propertySettings(30),
    );
    const empty = await send(route, undefined, {
      authorization: CALLER,
      'idempotency-key': 'empty',
    });
    expect(empty.status).toBe(400);
    expect(await runsAt(plainService(site))).toEqual(before);
  });

  test('refuses bad keys of calls and bad deadlines', async () => {
    const route = CALLER_ROUTES[1];
    const body = {reference: 'bad-header'};
    const badKey = fc.oneof(
      fc.stringMatching(/^[!-~]*[^\w.:-][!-~]*$/).filter(isHeader),
      fc.stringMatching(/^\w{201,400}$/),
    );
    await fc.assert(
      fc.asyncProperty(badKey, async key => {
        const headers = {authorization: CALLER, 'idempotency-key': key};
        expect((await send(route, body, headers)).status).toBe(400);
      }),
      propertySettings(75),
    );
    const badDeadline = fc
      .stringMatching(/^[!-~]{1,40}$/)
      .filter(text => !/^\d{1,9}(ms|s|m)$/.test(text));
    await fc.assert(
      fc.asyncProperty(badDeadline, async deadline => {
        const headers = {
          authorization: CALLER,
          'idempotency-key': 'k',
          'x-deadline': deadline,
        };
        expect((await send(route, body, headers)).status).toBe(400);
      }),
      propertySettings(75),
    );
    expect((await runsAt(plainService(site)))['bad-header']).toBeUndefined();
  });

  // A name such as `constructor` must be unknown, not found on the prototype.
  test('finds no model, service, plan or path under an unusual name', async () => {
    await fc.assert(
      fc.asyncProperty(oddName, fc.uuid(), async (name, key) => {
        if (name === '..' || name === '.') return;
        const odd = encoded(name);
        const headers = {authorization: CALLER, 'idempotency-key': key};
        const body = {prompt: 'p', deadline: '1s'};
        const replies = await Promise.all([
          send(`POST /v1/models/${odd}/generate`, body, headers),
          send(`POST /v1/services/${odd}/calls/x`, {}, headers),
          send(`GET /v1/plans/${odd}`, undefined, {authorization: OPERATOR}),
          send(`GET /v1/${odd}/x`, undefined, headers),
        ]);
        const [model, service, plan, path] = replies.map(reply => reply.status);
        expect([503, 404, 414]).toContain(model);
        expect([503, 404, 414]).toContain(service);
        expect(plan).toBe(404);
        expect(path).toBe(404);
      }),
      propertySettings(75),
    );
    for (const path of ['%', '%zz', '%ff/generate', 'a%00b']) {
      const reply = await send(`GET /v1/models/${path}`, undefined, {});
      expect([400, 404]).toContain(reply.status);
    }
  });

  test('refuses invalid intents', async () => {
    const headers = {authorization: OPERATOR};
    const route = OPERATOR_ROUTES[0];
    const change = fc.record(
      {
        kind: fc.constantFrom('serve', 'join', 'leave', 'own', 'x', 5),
        targets: fc.jsonValue(),
        model: fc.jsonValue(),
        capacityFloor: fc.constantFrom(-1, 1.5, '1', null),
      },
      {requiredKeys: ['kind']},
    );
    const intent = fc.oneof(
      fc.jsonValue(),
      fc.record({
        summary: fc.string(),
        changes: fc.array(change, {minLength: 1, maxLength: 3}),
      }),
    );
    await fc.assert(
      fc.asyncProperty(intent, async body => {
        const reply = await send(route, JSON.stringify(body), headers);
        expect([400, 422]).toContain(reply.status);
      }),
      propertySettings(100),
    );
    const type = {'content-type': 'application/yaml'};
    const yaml = fc.constantFrom('a: [', '&a [*a]', '\t- x', '!!js x', '{');
    await fc.assert(
      fc.asyncProperty(yaml, printable, async (start, rest) => {
        const reply = await send(route, start + rest, {...headers, ...type});
        expect([400, 422]).toContain(reply.status);
      }),
      propertySettings(40),
    );
  });

  test('keeps serving after bytes that are not HTTP', async () => {
    const {port, hostname} = new URL(url);
    await fc.assert(
      fc.asyncProperty(
        fc.uint8Array({minLength: 1, maxLength: 400}),
        async bytes => {
          await new Promise<void>(resolve => {
            const socket = connect(Number(port), hostname, () => {
              socket.end(bytes);
            });
            socket.on('data', () => undefined);
            socket.on('error', () => resolve());
            socket.on('close', () => resolve());
          });
        },
      ),
      propertySettings(60),
    );
  });

  // All slots of the only target are taken and more callers arrive than may
  // wait. The excess ones must be refused immediately while others still wait.
  test('refuses requests beyond the queue limit while earlier ones still wait', async () => {
    const [engine] = site.engines;
    if (engine === undefined) throw new Error('no engine');
    await setFaults(engine.url, {tokenTime: 20});
    const ends: string[] = [];
    const sendPrompt = async (index: number): Promise<void> => {
      const {outcome, status: code} = await generate(url, {
        prompt: `many ${index}`,
        maximumTokens: 100,
      });
      if (outcome === 'notRun') expect([429, 503]).toContain(code);
      ends.push(outcome);
    };
    await Promise.all(
      Array.from({length: 60}, (_, index) => sendPrompt(index)),
    );
    await setFaults(engine.url, {tokenTime: 2});
    const firstWhole = ends.indexOf('whole');
    const refused = ends.slice(0, firstWhole);
    expect(refused.length).toBeGreaterThan(10);
    expect(new Set(refused)).toEqual(new Set(['notRun']));
  });
});

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

/** Whether HTTP clients can send the text unchanged as a header. */
function isHeader(text: string): boolean {
  return text !== '' && text.trim() === text;
}
