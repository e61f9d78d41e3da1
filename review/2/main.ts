import {setTimeout as sleep} from 'node:timers/promises';
import {resolve, sendAlone, type Answer} from '../stand_ins/caller';
import {wholeStream} from '../stand_ins/engine';
import {createRecord} from '../stand_ins/record';
import {HOST, startSite, streamRequest} from '../stand_ins/site';

/** 18 events each 235 ms take 4.2 s, and each pause is within its objective. */
const EVENTS = 18;
const EVENT_PAUSE_MS = 235;
const DEADLINE_MS = 6_032;

/** When requests are sent, counted from the SIGTERM. */
const FIRST_REQUEST_MS = 3_100;
const LAST_REQUEST_MS = 3_500;
const REQUEST_INTERVAL_MS = 50;

/** When the directory is asked, counted from the SIGTERM. */
const RESOLVE_MS = -500;

/** How long a caller may hold the directory's answer: three times its TTL. */
const RESOLVED_FOR_MS = 6_000;

const GRACE_MS = 8_000;

const EXIT_HELD = 0;
const EXIT_BROKEN = 10;
const EXIT_NOT_RUN = 2;

async function run(): Promise<number> {
  const isDisrupted = process.env.TROUBLE !== '0';
  const record = createRecord();
  const passedOn = new Set<string>();
  const site = await startSite({
    entries: 2,
    engines: 3,
    route: {Resumable: true},
    engine: {
      plan: () => ({
        events: EVENTS,
        pause: EVENT_PAUSE_MS,
        isFramed: true,
        resetAfter: undefined,
      }),
      onRun: (requestId, event) => {
        passedOn.add(requestId);
        record.add(`run ${requestId} ${event}`);
      },
    },
  });
  if (site === undefined) return EXIT_NOT_RUN;
  const whole = wholeStream(EVENTS);
  const [stopped] = site.entries;
  if (stopped === undefined) return EXIT_NOT_RUN;

  const termAt = performance.now() + 2_000;
  const until = (offset: number): Promise<void> =>
    sleep(Math.max(0, termAt + offset - performance.now()));
  await until(RESOLVE_MS);
  const addresses = await resolve(stopped.directoryAddress, HOST);
  record.add(`directory names ${addresses.join(', ')}`);
  if (!addresses.includes(stopped.callerAddress)) return EXIT_NOT_RUN;

  await until(0);
  stopped.child.once('exit', () => record.add(`${stopped.name} has ended`));
  if (isDisrupted) {
    record.add(`SIGTERM to ${stopped.name}, grace ${GRACE_MS} ms`);
    stopped.child.kill('SIGTERM');
  }

  async function send(requestId: string, address: string): Promise<Answer> {
    const offset = Math.round(performance.now() - termAt);
    record.add(`sent ${requestId} at ${offset} ms`);
    const text = streamRequest(requestId, DEADLINE_MS);
    const answer = await sendAlone(address, text);
    const events = answer.body.split('\n\n').length - 1;
    const endedAt = Math.round(performance.now() - termAt);
    record.add(
      `answer ${requestId} status ${answer.status} events ${events} ` +
        `connection ${answer.end} at ${endedAt} ms` +
        (isLost(requestId, answer)
          ? ' BROKEN: lost after it was passed on'
          : ''),
    );
    return answer;
  }

  /** Read whole and passed on, but its connection ended without an answer. */
  function isLost(requestId: string, answer: Answer): boolean {
    return passedOn.has(requestId) && !answer.looksComplete;
  }

  const sending: Promise<boolean>[] = [];
  let number = 0;
  let served = 0;
  for (
    let offset = FIRST_REQUEST_MS;
    offset <= Math.min(LAST_REQUEST_MS, RESOLVED_FOR_MS + RESOLVE_MS);
    offset += REQUEST_INTERVAL_MS
  ) {
    await until(offset);
    number += 1;
    const requestId = `b${number}`;
    sending.push(
      send(requestId, stopped.callerAddress).then(answer => {
        if (answer.body.includes(`id: ${EVENTS}\n`)) served += 1;
        return isLost(requestId, answer);
      }),
    );
  }
  const lost = (await Promise.all(sending)).filter(isTrue => isTrue).length;
  await until(GRACE_MS);
  await site.close();
  const summary = `${number} requests, ${served} whole of ${whole.length} bytes, ${lost} lost`;
  record.add(summary);
  record.write('review/2/record.txt');
  console.log(summary);
  if (lost > 0) return EXIT_BROKEN;
  return !isDisrupted && served === 0 ? EXIT_NOT_RUN : EXIT_HELD;
}

run().then(
  code => process.exit(code),
  error => {
    console.error(error);
    process.exit(EXIT_NOT_RUN);
  },
);
