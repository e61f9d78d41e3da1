import {runLoad, tally} from '../stand_ins_2/load';
import {
  MODEL_SERVICE,
  PLAIN_SERVICE,
  untilReady,
  type Site,
} from '../stand_ins_2/site';
import {HAS_TROUBLE, runCase, type Verdict} from '../stand_ins_2/verdict';
import {sleep} from '../stand_ins_2/waiting';

/** Model engines of the site file, and how many of them are faulty. */
const MODEL_ENGINES = 9;
const FAULTY_ENGINES = 5;
const PLAIN_ENGINES = 3;

/** Link of an engine's machine: 6.58 Mbit/s. */
const LINK_BYTES_PER_SECOND = 822_500;

/** Five in 100 answers are spoilt, for this time in ms. */
const SPOILT_ONE_IN = 20;
const SPOILT_FOR = 5_500;

/** Times at which answers are spoilt, and the pause between two, in ms. */
const SPOILINGS = 4;
const PAUSE = 8_000;

/**
 * Machines on which processes must not end by themselves this often: a tenth of
 * those in use, two at least.
 */
const MAX_MACHINES = 2;
const MAX_ENDS = 3;

const DURATION = 62_000;

const PLAIN_BEHAVIOUR = {
  work: 43,
  events: 0,
  pause: 0,
  unframedOneIn: 0,
  spoiltOneIn: 0,
  spoiling: 'crumbs',
  linkBytesPerSecond: 0,
} as const;

const MODEL_BEHAVIOUR = {
  ...PLAIN_BEHAVIOUR,
  work: 120,
  events: 24,
  pause: 45,
  spoiltOneIn: SPOILT_ONE_IN,
  linkBytesPerSecond: LINK_BYTES_PER_SECOND,
} as const;

const PLAIN_LOAD = {
  path: '/status/',
  isStream: false,
  callers: 6,
  pause: 60,
  deadline: 1_012,
  leavesAfter: 1_012,
} as const;

const STREAM_LOAD = {
  path: '/diagnosis/',
  isStream: true,
  callers: 60,
  pause: 60,
  deadline: 6_032,
  leavesAfter: 6_032,
} as const;

async function play(site: Site): Promise<Verdict | undefined> {
  await Promise.all(
    Array.from({length: PLAIN_ENGINES}, (_, index) =>
      site.startEngine(`i-plain-${index}`, PLAIN_SERVICE, PLAIN_BEHAVIOUR),
    ),
  );
  const modelEngines = await Promise.all(
    Array.from({length: MODEL_ENGINES}, (_, index) =>
      site.startEngine(`i-model-${index}`, MODEL_SERVICE, MODEL_BEHAVIOUR),
    ),
  );
  const entries = [
    await site.startEntry('front-1'),
    await site.startEntry('front-2'),
  ];
  for (const entry of entries) if (!(await untilReady(entry))) return undefined;
  const until = performance.now() + DURATION;
  const answers = Promise.all(
    entries.flatMap(({callerAddress: address}) => [
      runLoad(site, {...PLAIN_LOAD, address}, until),
      runLoad(site, {...STREAM_LOAD, address}, until),
    ]),
  );
  await sleep(4_000);
  const faulty = modelEngines.slice(0, FAULTY_ENGINES);
  for (let times = 0; HAS_TROUBLE && times < SPOILINGS; times += 1) {
    site.log('some engines are faulty');
    for (const engine of faulty) engine.command({kind: 'spoil', isOn: true});
    await sleep(SPOILT_FOR);
    for (const engine of faulty) engine.command({kind: 'spoil', isOn: false});
    site.log('no engine is faulty any more');
    await sleep(PAUSE);
  }
  const sent = (await answers).flat();
  const failing = entries.filter(({ends}) => ends.length >= MAX_ENDS);
  return {
    isBroken: failing.length >= MAX_MACHINES,
    lines: [
      JSON.stringify(tally(sent)),
      ...entries.map(
        ({ends}) => `an entry ended by itself: ${JSON.stringify(ends)}`,
      ),
    ],
  };
}

void runCase(5, play);
