import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {
  breakHead,
  BROKEN_HEADS,
  inChunks,
  SAMPLE_HEADS,
  SOUND_HEAD,
  type BrokenHead,
} from './fixtures/broken_heads';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';
import {
  startRawTarget,
  type RawAnswer,
  type RawEnd,
  type RawRequest,
  type RawTarget,
} from './fixtures/raw_target';
import {
  AS_ENGINE,
  startShortObjectiveSite,
  type ShortObjectiveSite,
} from './fixtures/short_objective_site';

const REQUESTS = 20;

/** Failures until a target is avoided, and one more try after the pause. */
const MAX_TRIES = 4;

const FIRST_EVENT = 'id: 1\ndata: one\n\n';
const SECOND_EVENT = 'id: 2\ndata: two\n\n';

/** Time to read a broken answer. */
const READING_MS = 100;

const AS_MODEL = {'x-hibiscusbeam-model': 'model'};

/** A request, and the content of its answer. */
interface Exchange {
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly status: string;
  readonly body: string;
}

const EXCHANGES: readonly Exchange[] = [
  {path: '/safe/a', headers: {}, status: '200', body: 'answer'},
  {path: '/unsafe/a', headers: {}, status: '200', body: 'answer'},
  {path: '/unsafe/a', headers: {}, status: '400', body: 'failure'},
  {path: '/stream/a', headers: AS_MODEL, status: '200', body: FIRST_EVENT},
  {path: '/stream/a', headers: AS_MODEL, status: '400', body: 'failure'},
];

const SUCCESSES = EXCHANGES.filter(({status}) => status === '200');

/** Heads with a field that is for the connection, not for the caller. */
const LOST_FIELD_HEADS: readonly BrokenHead[] = [
  'Server-Seal',
  'Request-Id',
].map(name => ({name, lines: [`Connection: close, X-Hibiscusbeam-${name}`]}));

async function startEntry(site: HostSite, targets: number): Promise<string> {
  site.configure();
  const {settings} = await site.startEntry();
  await eventually(() => isReady(settings.readinessAddress));
  const isTarget = ({message}: {message: string}) => message === 'target';
  await eventually(() => site.lines.filter(isTarget).length >= targets);
  return settings.callerAddress;
}

describe('a target that sends broken heads', () => {
  let site: HostSite;
  let odd: RawTarget;
  let entry: string;

  beforeAll(async () => {
    site = await startHostSite();
    odd = await startRawTarget('odd');
    site.register(odd);
    site.register(odd, AS_ENGINE, 'odd-engine');
    entry = await startEntry(site, 2);
  });

  afterAll(async () => {
    await site.close();
    await odd.close();
  });

  /** Sends all requests at the same time. */
  async function expectRefusals(
    head: BrokenHead,
    exchanges: readonly Exchange[],
    end: RawEnd = 'close',
  ): Promise<void> {
    odd.setAnswer(request => {
      const exchange = exchanges[Number(request.requestId)]!;
      return {...breakHead(head, exchange, request), end};
    });
    const answers = exchanges.map(({path, headers}, index) =>
      send(entry, path, {
        ...headers,
        'x-hibiscusbeam-request-id': String(index),
      }),
    );
    for (const {status, headers} of await Promise.all(answers)) {
      expect(status).toBe(502);
      expect(headers).not.toHaveProperty('x-hibiscusbeam-server-seal');
    }
  }

  test.each(LOST_FIELD_HEADS)(
    'gives its callers no success without $name',
    head => expectRefusals(head, SUCCESSES),
  );

  test.each(BROKEN_HEADS)(
    'gives its callers nothing but refusals of the entry: $name',
    async head => {
      for (const end of ['close', 'reset'] as const) {
        await expectRefusals(head, EXCHANGES, end);
      }
      const failed = 'request failed in this process';
      expect(site.lines.map(({message}) => message)).not.toContain(failed);
      await eventually(() => odd.open() === 0);
    },
  );
});

describe.each(SAMPLE_HEADS)('a target that sends $name', head => {
  // A target in trouble that answers quickly would draw all requests to it.
  test('is soon avoided, and callers get the answers of others', async () => {
    const site = await startHostSite();
    const odd = await startRawTarget('odd');
    const sound = await startHostEngine({instance: 'sound'});
    odd.setAnswer(request => breakHead(head, EXCHANGES[0]!, request));
    site.register(odd);
    site.register(sound);
    const entry = await startEntry(site, 2);
    for (let sent = 0; sent < REQUESTS; sent += 1) {
      const {status, text} = await send(entry, '/safe/a');
      expect([status, text]).toEqual([200, 'done by sound']);
    }
    expect(odd.arrivals()).toBeLessThanOrEqual(MAX_TRIES);
    await site.close();
    await Promise.all([odd.close(), sound.close()]);
  });
});

describe('a request with several attempts', () => {
  let fixture: ShortObjectiveSite;
  let targets: readonly RawTarget[];

  beforeAll(async () => {
    fixture = await startShortObjectiveSite();
    targets = await Promise.all(['one', 'two'].map(startRawTarget));
    for (const target of targets) {
      fixture.site.register(target);
      fixture.site.register(target, AS_ENGINE, `${target.instance}-engine`);
      target.setAnswer(soundAnswer);
    }
    await fixture.serve();
  });

  afterAll(async () => {
    await fixture.close();
    await Promise.all(targets.map(target => target.close()));
  });

  function soundAnswer(request: RawRequest): RawAnswer {
    return breakHead(SOUND_HEAD, {status: '200', body: FIRST_EVENT}, request);
  }

  /** Sets the answers to the next attempts, in the order of their arrival. */
  function answerInTurn(
    ...answers: readonly ((request: RawRequest) => RawAnswer)[]
  ): () => number {
    let arrivals = 0;
    for (const target of targets) {
      target.setAnswer(request => {
        const answer = answers[arrivals] ?? soundAnswer;
        arrivals += 1;
        return answer(request);
      });
    }
    return () => arrivals;
  }

  const brokenAnswer =
    (head: BrokenHead, body: string) =>
    (request: RawRequest): RawAnswer =>
      breakHead(head, {status: '200', body}, request);

  /** The first event in a chunk, then the end of the connection. */
  function cutStream({requestId}: RawRequest): RawAnswer {
    const head = [
      'HTTP/1.1 200 OK',
      `X-Hibiscusbeam-Request-Id: ${requestId}`,
      'X-Hibiscusbeam-Server-Seal: seal-of-cut',
      'Transfer-Encoding: chunked',
    ].join('\r\n');
    const chunk = inChunks(FIRST_EVENT).split('0\r\n')[0];
    return {bytes: `${head}\r\n\r\n${chunk}`, end: 'close'};
  }

  test.each(SAMPLE_HEADS)(
    'is cut if the target that resumes its stream sends $name',
    async head => {
      const arrivals = answerInTurn(
        cutStream,
        brokenAnswer(head, SECOND_EVENT),
      );
      expect(await fixture.sendRequest('going')).toEqual({text: 'closed'});
      expect(arrivals()).toBe(2);
    },
  );

  test.each(SAMPLE_HEADS)(
    'gets the whole answer of its first target if the one beside it sends $name',
    async head => {
      for (const route of ['quick', 'going']) {
        let answerFirst = (): void => undefined;
        const after = new Promise<void>(resolve => (answerFirst = resolve));
        const arrivals = answerInTurn(
          request => ({...soundAnswer(request), after}),
          request => {
            setTimeout(answerFirst, READING_MS);
            return brokenAnswer(head, SECOND_EVENT)(request);
          },
        );
        const {status, text} = await fixture.sendRequest(route);
        expect([status, text]).toEqual([200, FIRST_EVENT.trim()]);
        expect(arrivals()).toBe(2);
      }
    },
  );
});
