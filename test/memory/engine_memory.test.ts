import {
  createRequestSizes,
  createTargetRegistry,
  hash32,
  outputToReserve,
  type PlacementRequest,
  type InFlightRequest,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {engineLoad, engineNeed, engineTarget} from '../fixtures/placement';

/** Twelve requests of the mean size fill an engine's memory; one in twenty is large. */
const MEMORY = 20_000;
const SLOTS = 12;
const ENGINES = 3;
const MEAN_PROMPT = 1_500;
const MEAN_OUTPUT = 200;
const MOST_OUTPUT = 500;
const STEP = 10;
const LOOK = 20;
const REPORT_PERIOD = 100;
const DURATION = 12_000;
const SILENT_FROM = 4_000;
const SILENT_UNTIL = 7_000;

type Hint = 'right' | 'none' | 'zero' | 'huge';

interface World {
  readonly entries: number;
  /** Age of reports where they are used. */
  readonly delay: number;
  readonly lostShare: number;
  readonly hint: Hint;
}

interface Run {
  readonly prompt: number;
  readonly output: number;
  readonly inHand: InFlightRequest;
  startedAt: number;
}

function hintFor(hint: Hint, output: number): number | undefined {
  switch (hint) {
    case 'right':
      return output;
    case 'none':
      return undefined;
    case 'zero':
      return 0;
    case 'huge':
      return 1e9;
  }
}

/** Plays more load than memory; tells the fullest engine and what was served. */
function play({entries, delay, lostShare, hint}: World) {
  let drawn = 0;
  const draw = () => hash32(`${entries} ${delay} ${(drawn += 1)}`) / 2 ** 32;
  const seen = createRequestSizes();
  const senders = Array.from({length: entries}, (_, index) => ({
    instance: `entry-${index}`,
    zone: 'north',
  }));
  const targets = Array.from({length: ENGINES}, (_, index) =>
    engineTarget(`engine-${index}`, {slots: SLOTS}),
  );
  const books = senders.map(sender => {
    const book = createTargetRegistry(sender);
    book.list(targets, 0);
    book.setEntries(senders);
    return book;
  });
  const engines = targets.map(target => ({
    target,
    running: [] as Run[],
    waiting: [] as Run[],
    sequence: 0,
  }));
  const news: {at: number; tell: () => void}[] = [];
  let fullest = 0;
  let served = 0;

  function needAt(now: number): {
    need: PlacementRequest;
    prompt: number;
    output: number;
  } {
    const isLarge = draw() < 0.05;
    const prompt = MEAN_PROMPT * (isLarge ? 3 : 0.4 + draw());
    const output = Math.min(MOST_OUTPUT, MEAN_OUTPUT * (0.3 + 1.4 * draw()));
    const claims = {
      hint: hintFor(hint, output),
      most: MOST_OUTPUT,
      seen: seen.seen('route'),
    };
    const reserved = outputToReserve(claims, MEMORY / 4);
    const tokens = prompt + reserved;
    const memory = {engineTokens: MEMORY, tokens, output: reserved};
    return {need: engineNeed({now, memory}), prompt, output};
  }

  function heldBy({prompt, output, startedAt}: Run, now: number): number {
    return prompt + Math.min(output, (now - startedAt) / STEP);
  }

  for (let now = 0; now < DURATION; now += LOOK) {
    for (const {at, tell} of news.splice(0)) {
      if (at <= now) tell();
      else news.push({at, tell});
    }
    for (const engine of engines) {
      for (const run of [...engine.running]) {
        if (now - run.startedAt < run.output * STEP) continue;
        engine.running.splice(engine.running.indexOf(run), 1);
        run.inHand.end();
        seen.record('route', run.output);
        served += 1;
      }
      while (engine.running.length < SLOTS) {
        const next = engine.waiting.shift();
        if (next === undefined) break;
        engine.running.push({...next, startedAt: now});
      }
      const held = engine.running.reduce(
        (sum, run) => sum + heldBy(run, now),
        0,
      );
      fullest = Math.max(fullest, held / MEMORY);
      const isSilent = now >= SILENT_FROM && now < SILENT_UNTIL;
      if (now % REPORT_PERIOD !== 0 || isSilent) continue;
      engine.sequence += 1;
      const load = engineLoad(engine.target.instance, {
        running: engine.running.length,
        waiting: engine.waiting.length,
        sequence: engine.sequence,
        memoryShare: held / MEMORY,
      });
      if (draw() < lostShare) continue;
      for (const book of books) {
        news.push({
          at: now + delay,
          tell: () => book.report(load, now + delay),
        });
      }
    }
    for (const book of books) {
      const {need, prompt, output} = needAt(now);
      const choice = book.choose(need);
      if (choice.kind !== 'chosen') continue;
      const inHand = book.begin(choice.target, {
        promptTime: 0,
        memory: need.memory,
        at: now,
        onIncarnationEnded: () => undefined,
      });
      const run = {prompt, output, inHand, startedAt: now};
      const engine = engines.find(({target}) => target === choice.target);
      engine?.waiting.push(run);
    }
  }
  return {fullest, served};
}

const worlds: readonly World[] = [1, 3, 43].flatMap(entries =>
  (['right', 'none', 'zero', 'huge'] as const).flatMap(hint => [
    {entries, hint, delay: 0, lostShare: 0},
    {entries, hint, delay: 300, lostShare: 0.3},
  ]),
);

const largest: World = {
  entries: 390,
  hint: 'zero',
  delay: 300,
  lostShare: 0.3,
};

// More requests than its memory holds end an engine, and all of them with it.
test.each([...worlds, largest])(
  'no engine is given more than its memory holds: %o',
  world => {
    const {fullest, served} = play(world);
    expect(fullest).toBeLessThanOrEqual(1);
    expect(served).toBeGreaterThan(50);
  },
);
