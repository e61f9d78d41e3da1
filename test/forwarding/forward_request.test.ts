import {
  forwardRequest,
  type ForwardAttemptOutcome,
  type ForwardedRequest,
  type ForwardReply,
  type ForwardResult,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from './property_runs';

const outcomes = fc.oneof<fc.Arbitrary<ForwardAttemptOutcome>[]>(
  fc.record({kind: fc.constant('answered' as const), success: fc.boolean()}),
  fc.constant({kind: 'streamed' as const}),
  fc.record({
    kind: fc.constant('notRun' as const),
    cause: fc.constantFrom(
      'notConnected' as const,
      'refusedByTarget' as const,
      'misdirected' as const,
    ),
  }),
  fc.record({
    kind: fc.constant('unknown' as const),
    cause: fc.constantFrom('connectionLost' as const, 'silence' as const),
  }),
  fc.record({
    kind: fc.constant('broken' as const),
    cause: fc.constant('connectionLost' as const),
    lastEventId: fc.option(fc.constantFrom('1', '2'), {nil: undefined}),
  }),
  fc.record({
    kind: fc.constant('handedOn' as const),
    lastEventId: fc.constantFrom('1', '2'),
  }),
  fc.constant({kind: 'timedOut' as const}),
);

interface Script {
  readonly request: ForwardedRequest;
  readonly outcomes: readonly ForwardAttemptOutcome[];
  /** Sends for which a place is found. */
  readonly places: number;
  readonly repeats: number;
}

const scripts: fc.Arbitrary<Script> = fc.record({
  request: fc.record({
    kind: fc.constantFrom(
      'safe' as const,
      'unsafe' as const,
      'stream' as const,
    ),
    resumable: fc.boolean(),
    attempts: fc.integer({min: 1, max: 3}),
  }),
  outcomes: fc.array(outcomes, {minLength: 12, maxLength: 12}),
  places: fc.integer({min: 0, max: 12}),
  repeats: fc.integer({min: 0, max: 12}),
});

interface Played {
  readonly result: ForwardResult;
  readonly sent: readonly ForwardAttemptOutcome[];
  readonly resumedAfter: readonly (string | undefined)[];
}

/** Runs the flow against a script of replies. */
function play(script: Script): Played {
  const flow = forwardRequest<string>(script.request);
  const sent: ForwardAttemptOutcome[] = [];
  const resumedAfter: (string | undefined)[] = [];
  let repeats = 0;
  let step = flow.next();
  while (step.done !== true) {
    step = flow.next(reply(step.value));
  }
  return {result: step.value, sent, resumedAfter};

  function reply(
    effect: Exclude<typeof step.value, ForwardResult>,
  ): ForwardReply<string> {
    switch (effect.kind) {
      case 'choosePlace':
        return sent.length < script.places
          ? {kind: 'placed', place: {kind: 'place', target: 'target'}}
          : {
              kind: 'placed',
              place: {kind: 'noPlace', reason: 'allFull', retryAfter: 100},
            };
      case 'send': {
        const outcome = script.outcomes[sent.length]!;
        sent.push(outcome);
        resumedAfter.push(effect.resumeAfter);
        return {kind: 'sent', outcome};
      }
      case 'takeRepeat':
        repeats += 1;
        return {kind: 'repeat', allowed: repeats <= script.repeats};
    }
  }
}

const mayHaveRun = ({kind}: ForwardAttemptOutcome): boolean =>
  kind !== 'notRun';

test('a request that may not repeat is never sent again after it may have run', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {kind, resumable} = script.request;
      fc.pre(kind === 'unsafe' || (kind === 'stream' && !resumable));
      const {sent} = play(script);
      expect(sent.slice(0, -1).filter(mayHaveRun)).toEqual([]);
    }),
    propertyRuns,
  );
});

test('"not run" is only said if nothing may have run', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {result, sent} = play(script);
      if (result.kind === 'notRun') expect(sent.filter(mayHaveRun)).toEqual([]);
    }),
    propertyRuns,
  );
});

// The first target falls silent, the second one is full. The operator who looks
// for the cause of the 502 must find the silence, not a lost connection.
test('names the cause of the attempt that may have run', () => {
  const {result} = play({
    request: {kind: 'safe', resumable: false, attempts: 2},
    outcomes: [{kind: 'unknown', cause: 'silence'}],
    places: 1,
    repeats: 1,
  });
  expect(result).toEqual({kind: 'unknown', cause: 'silence'});
});

test('a request runs at no more targets than its route allows', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {sent} = play(script);
      const runs = sent.filter(mayHaveRun).length;
      expect(runs).toBeLessThanOrEqual(script.request.attempts);
      expect(sent.length).toBeLessThanOrEqual(script.request.attempts + 2);
    }),
    propertyRuns,
  );
});

test('a stream that has begun is resumed after its last event or cut', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {result, sent, resumedAfter} = play(script);
      const begun = sent.findIndex(outcome => outcome.kind === 'broken');
      if (begun === -1) return;
      expect(['streamed', 'cut', 'timedOut', 'callerGone']).toContain(
        result.kind,
      );
      for (const id of resumedAfter.slice(begun + 1)) {
        expect(id).toBeDefined();
      }
    }),
    propertyRuns,
  );
});
