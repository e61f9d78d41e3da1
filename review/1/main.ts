import {setTimeout as sleep} from 'node:timers/promises';
import {sendAlone, type Answer} from '../stand_ins/caller';
import {wholeStream} from '../stand_ins/engine';
import {createRecord} from '../stand_ins/record';
import {startSite, streamRequest} from '../stand_ins/site';

const EVENTS = 24;
const EVENT_PAUSE_MS = 50;
const DEADLINE_MS = 6_032;
const REQUESTS = 400;
const REQUEST_INTERVAL_MS = 25;

/** The disruption: its start, its length and the requests that it hits. */
const DISRUPTED_FROM_MS = 2_000;
const DISRUPTION_MS = 5_000;
const DISRUPTED_ENGINES = ['engine-1', 'engine-2'];
const EVERY_NTH_ANSWER = 20;
const EVENTS_BEFORE_RESET = 8;

const EXIT_HELD = 0;
const EXIT_BROKEN = 10;
const EXIT_NOT_RUN = 2;

async function run(): Promise<number> {
  const isDisrupted = process.env.TROUBLE !== '0';
  const record = createRecord();
  const answersOf = new Map<string, number>();
  let disruptedFrom = Infinity;
  let resets = 0;

  function mustReset(instance: string): boolean {
    const since = performance.now() - disruptedFrom;
    if (since < 0 || since > DISRUPTION_MS) return false;
    if (!DISRUPTED_ENGINES.includes(instance)) return false;
    const count = (answersOf.get(instance) ?? 0) + 1;
    answersOf.set(instance, count);
    const isHit = count % EVERY_NTH_ANSWER === 0;
    if (isHit) resets += 1;
    return isHit;
  }

  const site = await startSite({
    entries: 2,
    engines: 4,
    route: {Resumable: false},
    engine: {
      plan: (_requestId, instance) => ({
        events: EVENTS,
        pause: EVENT_PAUSE_MS,
        isFramed: false,
        resetAfter: mustReset(instance) ? EVENTS_BEFORE_RESET : undefined,
      }),
      onRun: (requestId, event) => record.add(`run ${requestId} ${event}`),
    },
  });
  if (site === undefined) return EXIT_NOT_RUN;
  if (isDisrupted) disruptedFrom = performance.now() + DISRUPTED_FROM_MS;

  const whole = wholeStream(EVENTS);
  const isWrong = (answer: Answer): boolean =>
    answer.status === 200 && answer.looksComplete && answer.body !== whole;
  const sending: Promise<Answer>[] = [];
  for (let number = 1; number <= REQUESTS; number += 1) {
    const entry = site.entries[number % site.entries.length]!;
    sending.push(send(`a${number}`, entry.callerAddress));
    await sleep(REQUEST_INTERVAL_MS);
  }

  async function send(requestId: string, address: string): Promise<Answer> {
    record.add(`sent ${requestId}`);
    const text = streamRequest(requestId, DEADLINE_MS);
    const answer = await sendAlone(address, text);
    const events = answer.body.split('\n\n').length - 1;
    record.add(
      `answer ${requestId} status ${answer.status} events ${events} ` +
        `connection ${answer.end}` +
        (isWrong(answer) ? ' BROKEN: ends early and looks complete' : ''),
    );
    return answer;
  }

  const answers = await Promise.all(sending);
  await site.close();
  const wrong = answers.filter(isWrong).length;
  const served = answers.filter(({body}) => body === whole).length;
  record.add(`${answers.length} answers, ${served} whole, ${wrong} wrong`);
  record.write('review/1/record.txt');
  console.log(`${answers.length} answers, ${served} whole, ${wrong} wrong`);
  if (wrong > 0) return EXIT_BROKEN;
  const wasDisrupted = !isDisrupted || resets > 0;
  return served > 0 && wasDisrupted ? EXIT_HELD : EXIT_NOT_RUN;
}

run().then(
  code => process.exit(code),
  error => {
    console.error(error);
    process.exit(EXIT_NOT_RUN);
  },
);
