import {
  createAttemptSource,
  createRepeatableFlow,
  type AttemptAddress,
  type AttemptEvent,
  type EmitEffect,
  type RequestEffect,
  type RequestReply,
  type RequestResult,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {bytesOf, createSha256Digester, digestOf} from './sha256_digester';

const DEADLINE = 1000;
const SILENCE = 100;
const MAX_ATTEMPTS = 4;

type Damage =
  | {readonly kind: 'lost' | 'doubled' | 'crossed'; readonly at: number}
  | {readonly kind: 'cut' | 'silent'; readonly at: number};

/** What one target does with the request. */
interface Script {
  readonly kind: 'serves' | 'refuses' | 'refusesAsOtherIncarnation' | 'fails';
  readonly version: string;
  /** Engines may word an answer differently each time. */
  readonly wording: string;
  readonly damage: readonly Damage[];
}

interface CallLog {
  readonly frames: readonly EmitEffect['frame'][];
  readonly dispatched: readonly AttemptAddress[];
  readonly cancelled: readonly AttemptAddress[];
  readonly retries: number;
  readonly result: RequestResult;
  readonly endedAt: number;
}

const ANSWER_FRAMES = 4;

function textFor(version: string, wording: string): readonly Uint8Array[] {
  return Array.from({length: ANSWER_FRAMES}, (_value, position) =>
    // Two versions often begin alike.
    bytesOf(position === 0 ? 'alike' : `${version}/${wording}/${position}`),
  );
}

function streamOf(script: Script, address: AttemptAddress): AttemptEvent[] {
  const {attempt, incarnation} = address;
  if (script.kind === 'fails') {
    return [{kind: 'failed', attempt, detail: 'engine fault'}];
  }
  if (script.kind !== 'serves') {
    const other = script.kind === 'refusesAsOtherIncarnation' ? 1 : 0;
    return [
      {
        kind: 'refused',
        attempt,
        incarnation: incarnation + other,
        reason: 'queueFull',
        retryAfter: 7,
      },
    ];
  }
  const frames = textFor(script.version, script.wording);
  const events: AttemptEvent[] = [
    {kind: 'started', attempt, versionDigest: script.version, incarnation},
    ...frames.map(
      (content, sequence) =>
        ({kind: 'data', attempt, sequence, content}) as const,
    ),
    {kind: 'end', attempt, frameCount: ANSWER_FRAMES, digest: digestOf(frames)},
  ];
  return script.damage.reduce(damageStream, events);
}

function damageStream(events: AttemptEvent[], damage: Damage): AttemptEvent[] {
  const at = damage.at % (events.length + 1);
  const event = events[at];
  switch (damage.kind) {
    case 'cut':
      return [...events.slice(0, at), {kind: 'cut', detail: 'cut'}];
    case 'silent':
      return events.slice(0, at);
    case 'lost':
      return events.toSpliced(at, 1);
    case 'doubled':
      return event === undefined ? events : events.toSpliced(at, 0, event);
    case 'crossed': {
      const foreign = {
        kind: 'data',
        attempt: 'another#1',
        sequence: at,
        content: bytesOf('another'),
      } as const;
      return events.toSpliced(at, 0, foreign);
    }
  }
}

/** Runs the flow against one script per target; the caller may leave. */
function serve(
  scripts: readonly Script[],
  callerLeavesAt: number,
  retryBudget: number,
): CallLog {
  let now = 0;
  let retries = 0;
  let events: AttemptEvent[] = [];
  const frames: EmitEffect['frame'][] = [];
  const dispatched: AttemptAddress[] = [];
  const cancelled: AttemptAddress[] = [];
  const flow = createRepeatableFlow({
    deadline: DEADLINE,
    now: () => now,
    createAttempt: createAttemptSource('entry.1'),
    createDigester: createSha256Digester,
    limits: {
      answerBytes: 1000,
      maxAttempts: MAX_ATTEMPTS,
      silence: SILENCE,
      retryAfter: 9,
    },
    spendRetry() {
      if (retries >= retryBudget) return false;
      retries += 1;
      return true;
    },
  });

  function nextEvent(until: number): RequestReply {
    const event = events.shift();
    if (event !== undefined) return {kind: 'event', event};
    now = Math.max(now, until);
    return {kind: 'event', event: {kind: 'timedOut'}};
  }

  function replyTo(effect: RequestEffect): RequestReply {
    switch (effect.kind) {
      case 'chooseTarget': {
        const position = scripts.findIndex(
          (script, target) =>
            !effect.exclude.includes(`target-${target}`) &&
            (effect.versionDigest === undefined ||
              // Routing's view may be outdated: a target may have swapped
              // versions.
              script.wording === 'swapped' ||
              script.version === effect.versionDigest),
        );
        if (position < 0) {
          const choice = {
            kind: 'none',
            reason: 'noTarget',
            retryAfter: 3,
          } as const;
          return {kind: 'choice', choice};
        }
        const target = `target-${position}`;
        const choice = {
          kind: 'target',
          target,
          instance: target,
          incarnation: 5,
        } as const;
        return {kind: 'choice', choice};
      }
      case 'dispatch': {
        const position = Number(effect.address.target.slice('target-'.length));
        dispatched.push(effect.address);
        events = streamOf(scripts[position]!, effect.address);
        return nextEvent(effect.until);
      }
      case 'awaitEvent':
        return nextEvent(effect.until);
      case 'emit':
        if (frames.length >= callerLeavesAt) return {kind: 'callerGone'};
        frames.push(effect.frame);
        return {kind: 'done'};
      case 'cancel':
        cancelled.push(effect.address);
        return {kind: 'done'};
      default:
        throw new Error(`unexpected ${effect.kind}`);
    }
  }

  let step = flow.next();
  while (!step.done) {
    now += 1;
    step = flow.next(replyTo(step.value));
  }
  const result = step.value;
  return {frames, dispatched, cancelled, retries, result, endedAt: now};
}

const damage: fc.Arbitrary<Damage> = fc.record({
  kind: fc.constantFrom('lost', 'doubled', 'crossed', 'cut', 'silent'),
  at: fc.nat(6),
});
const script: fc.Arbitrary<Script> = fc.record({
  kind: fc.constantFrom(
    'serves',
    'serves',
    'serves',
    'refuses',
    'refusesAsOtherIncarnation',
    'fails',
  ),
  version: fc.constantFrom('version-a', 'version-a', 'version-b'),
  wording: fc.constantFrom('usual', 'usual', 'usual', 'other', 'swapped'),
  damage: fc.array(damage, {maxLength: 2}),
});
const scripts = fc.array(script, {maxLength: 6});

function checkEveryCase(
  check: (log: CallLog, chosen: readonly Script[]) => void,
): void {
  fc.assert(
    fc.property(
      scripts,
      fc.oneof(
        {weight: 4, arbitrary: fc.constant(99)},
        {weight: 1, arbitrary: fc.nat(5)},
      ),
      fc.nat(5),
      (chosen, leaves, budget) => check(serve(chosen, leaves, budget), chosen),
    ),
    propertySettings(3000),
  );
}

// A caller reads an answer while it is generated. Its target fails halfway and
// the request goes to another one. Frames get lost, duplicated or mixed up, and
// the next target may serve another version or word the answer differently. A
// spliced answer would look complete and be wrong.
describe('a repeatable call', () => {
  test('sends one complete answer of one version, or no end frame', () => {
    checkEveryCase(({frames, result}) => {
      const [start, ...rest] = frames;
      const data = rest.filter(frame => frame.kind === 'data');
      expect(data.map(frame => frame.sequence)).toEqual(
        data.map((_, at) => at),
      );
      const ended = frames.some(frame => frame.kind === 'end');
      expect(ended).toBe(result.outcome.kind === 'answered');
      if (!ended) return;
      const version =
        start?.kind === 'started' ? start.versionDigest : undefined;
      const contents = data.map(frame => frame.content);
      const possible = ['usual', 'other', 'swapped'].map(wording =>
        textFor(String(version), wording),
      );
      expect(possible).toContainEqual(contents);
      expect(frames.at(-1)).toEqual({
        kind: 'end',
        frameCount: ANSWER_FRAMES,
        digest: digestOf(contents),
      });
    });
  });

  test('never sends frames of two versions', () => {
    checkEveryCase(({frames}) => {
      const texts = frames.flatMap(frame =>
        frame.kind === 'data' ? [new TextDecoder().decode(frame.content)] : [],
      );
      const sources = texts.slice(1).map(text => text.split('/')[0]);
      expect(new Set(sources).size).toBeLessThanOrEqual(1);
    });
  });

  test('is reported as not run only if every attempt was refused', () => {
    checkEveryCase(({dispatched, result}, chosen) => {
      if (result.outcome.kind !== 'notRun') return;
      for (const {target} of dispatched) {
        const position = Number(target.slice('target-'.length));
        expect(chosen[position]?.kind).toBe('refuses');
      }
    });
  });

  test('stays within its attempts, its retry budget and its deadline', () => {
    checkEveryCase(({dispatched, retries, endedAt}) => {
      expect(dispatched.length).toBeLessThanOrEqual(
        Math.min(MAX_ATTEMPTS, retries + 1),
      );
      expect(endedAt).toBeLessThanOrEqual(DEADLINE + 10);
      const attempts = dispatched.map(({attempt}) => attempt);
      expect(new Set(attempts).size).toBe(attempts.length);
    });
  });

  test('cancels every attempt that is given up', () => {
    checkEveryCase(({dispatched, cancelled, result}, chosen) => {
      const open = dispatched.filter(({target}) => {
        const position = Number(target.slice('target-'.length));
        return chosen[position]?.kind !== 'refuses';
      });
      const answered = result.outcome.kind === 'answered';
      const givenUp = answered ? open.slice(0, -1) : open;
      expect(cancelled).toEqual(givenUp);
    });
  });
});

// Another caller's frames keep arriving on this caller's stream. Without the
// deadline check the caller would wait long past its deadline.
test('a stream of only foreign frames ends at the deadline', () => {
  let now = 0;
  const flow = createRepeatableFlow({
    deadline: DEADLINE,
    now: () => now,
    createAttempt: createAttemptSource('entry.1'),
    createDigester: createSha256Digester,
    limits: {
      answerBytes: 1000,
      maxAttempts: 1,
      silence: SILENCE,
      retryAfter: 9,
    },
    spendRetry: () => true,
  });
  const foreign = {kind: 'failed', attempt: 'another#1', detail: ''} as const;
  const choice = {
    kind: 'target',
    target: 't',
    instance: 't',
    incarnation: 1,
  } as const;
  let step = flow.next();
  while (!step.done && now < 2 * DEADLINE) {
    now += 5;
    const {kind} = step.value;
    if (kind === 'chooseTarget') step = flow.next({kind: 'choice', choice});
    else if (kind === 'cancel') step = flow.next({kind: 'done'});
    else step = flow.next({kind: 'event', event: foreign});
  }
  expect(step.done && step.value.outcome.kind).toBe('outcomeUnknown');
  expect(now).toBeLessThanOrEqual(DEADLINE + 10);
});
