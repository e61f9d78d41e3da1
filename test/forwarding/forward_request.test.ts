import {
  forwardRequest,
  type ForwardAttemptEnd,
  type ForwardAttemptOutcome,
  type ForwardedRequest,
  type ForwardEffect,
  type ForwardReply,
  type ForwardResult,
  type AttemptReport,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from './property_runs';

/** More steps than any script has. */
const MAX_STEPS = 200;

const eventIds = fc.option(fc.constantFrom('1', '2'), {nil: undefined});

const ends = fc.oneof<fc.Arbitrary<ForwardAttemptEnd>[]>(
  fc.record({kind: fc.constant('answered' as const), success: fc.boolean()}),
  fc.constant({kind: 'streamed' as const}),
  fc.record({
    kind: fc.constant('notRun' as const),
    cause: fc.constantFrom(
      'notConnected' as const,
      'connectionRefused' as const,
      'outdated' as const,
      'refusedByTarget' as const,
      'misdirected' as const,
    ),
  }),
  fc.record({
    kind: fc.constant('unknown' as const),
    cause: fc.constantFrom('connectionLost' as const, 'foreignAnswer' as const),
  }),
  fc.record({
    kind: fc.constant('broken' as const),
    cause: fc.constant('connectionLost' as const),
    lastEventId: eventIds,
  }),
  fc.constant({kind: 'timedOut' as const}),
  fc.constant({kind: 'callerGone' as const}),
);

const states = fc.oneof(
  fc.record({
    kind: fc.constant('silent' as const),
    streamBegun: fc.boolean(),
    lastEventId: eventIds,
  }),
  fc.constant({kind: 'goesOn' as const}),
  fc.record({
    kind: fc.constant('handedOn' as const),
    lastEventId: fc.constantFrom('1', '2'),
  }),
);

/** What an attempt reports; `from` picks one of those in flight. */
interface ScriptedReport {
  readonly from: number;
  readonly outcome: ForwardAttemptOutcome;
}

interface Script {
  readonly request: ForwardedRequest;
  readonly reports: readonly ScriptedReport[];
  /**
   * For each search, whether a report arrives before a slot; never after these.
   */
  readonly interrupted: readonly boolean[];
  /** Number of attempts for which a slot is found. */
  readonly places: number;
  readonly repeats: number;
  /**
   * Retries that are allowed after they were denied, while attempts are silent.
   */
  readonly lateRepeats: number;
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
  reports: fc.array(
    fc.record({
      from: fc.nat(),
      outcome: fc.oneof({arbitrary: ends, weight: 2}, states),
    }),
    {minLength: 12, maxLength: 24},
  ),
  interrupted: fc.array(fc.boolean(), {maxLength: 12}),
  places: fc.integer({min: 0, max: 12}),
  repeats: fc.integer({min: 0, max: 12}),
  lateRepeats: fc.integer({min: 0, max: 3}),
});

interface SentAttempt {
  /** Undefined while it is in flight, or if another one has won. */
  end: ForwardAttemptEnd | undefined;
  isSilent: boolean;
  readonly resumeAfter: string | undefined;
  /** Number of earlier attempts that may have run when it was made. */
  readonly earlierRuns: number;
  readonly streamBegun: boolean;
}

interface ScriptResult {
  readonly result: ForwardResult;
  readonly sent: readonly SentAttempt[];
  readonly streamBegun: boolean;
  readonly lastReport: ForwardAttemptOutcome | undefined;
  readonly leftInFlight: number;
  /** Retries and moves that were charged to the site's budget. */
  readonly charged: number;
}

/**
 * Runs the flow against a script of reports, after which the deadline passes.
 */
function runScript(script: Script): ScriptResult {
  const flow = forwardRequest<string>(script.request);
  const sent: SentAttempt[] = [];
  let inFlight: SentAttempt[] = [];
  let streamBegun = false;
  let lastReport: ForwardAttemptOutcome | undefined;
  let [reports, searches, repeats, moves, late] = [0, 0, 0, 0, 0];
  let step = flow.next();
  for (let steps = 0; step.done !== true; steps += 1) {
    if (steps > MAX_STEPS) throw new Error('the flow does not end');
    step = flow.next(reply(step.value));
  }
  const leftInFlight = inFlight.length;
  const charged = Math.min(repeats, script.repeats) + moves + late;
  const ending = {lastReport, leftInFlight, charged};
  return {result: step.value, sent, streamBegun, ...ending};

  function reply(effect: ForwardEffect<string>): ForwardReply<string> {
    switch (effect.kind) {
      case 'choosePlace':
        return chooseSlot();
      case 'send': {
        const attempt: SentAttempt = {
          end: undefined,
          isSilent: false,
          resumeAfter: effect.resumeAfter,
          earlierRuns: sent.filter(mayHaveRun).length,
          streamBegun,
        };
        sent.push(attempt);
        inFlight.push(attempt);
        return report();
      }
      case 'wait':
        if (!effect.wantsRetry || late >= script.lateRepeats) return report();
        late += 1;
        return {kind: 'repeat', allowed: true};
      case 'takeRepeat':
        repeats += 1;
        return {kind: 'repeat', allowed: repeats <= script.repeats};
    }
  }

  function chooseSlot(): ForwardReply<string> {
    const isInterrupted = script.interrupted[searches] === true;
    searches += 1;
    if (isInterrupted && inFlight.length > 0) return report();
    const place =
      sent.length < script.places
        ? ({kind: 'place', target: 'target'} as const)
        : ({kind: 'noPlace', reason: 'allFull', retryAfter: 100} as const);
    return {kind: 'placed', place};
  }

  function report(): AttemptReport {
    if (inFlight.length === 0) throw new Error('waits for nothing');
    const {from, outcome} = script.reports[reports] ?? {
      from: 0,
      outcome: {kind: 'timedOut'},
    };
    reports += 1;
    lastReport = outcome;
    recordOutcome(inFlight[from % inFlight.length]!, outcome);
    const silent = inFlight.filter(({isSilent}) => isSilent).length;
    return {kind: 'sent', outcome, attemptsInFlight: inFlight.length, silent};
  }

  function recordOutcome(
    attempt: SentAttempt,
    outcome: ForwardAttemptOutcome,
  ): void {
    if (outcome.kind === 'silent') {
      attempt.isSilent = true;
      streamBegun ||= outcome.streamBegun;
    } else if (outcome.kind === 'goesOn') {
      attempt.isSilent = false;
    } else if (outcome.kind === 'handedOn') {
      streamBegun = true;
      moves += 1;
    } else {
      recordEnd(attempt, outcome);
    }
  }

  function recordEnd(attempt: SentAttempt, end: ForwardAttemptEnd): void {
    attempt.end = end;
    streamBegun ||= end.kind === 'broken';
    const hasWon =
      end.kind === 'streamed' || (end.kind === 'answered' && end.success);
    inFlight = hasWon ? [] : inFlight.filter(other => other !== attempt);
  }
}

const UNREACHED = ['notConnected', 'connectionRefused'];

/** Whether a connection to the attempt's target was established. */
function isReached({end}: SentAttempt): boolean {
  return end?.kind !== 'notRun' || !UNREACHED.includes(end.cause);
}

/** Whether any part of the request may have reached the attempt's target. */
function mayHaveReachedTarget(attempt: SentAttempt): boolean {
  if (attempt.end?.kind === 'notRun' && attempt.end.cause === 'outdated') {
    return false;
  }
  return isReached(attempt);
}

const mayHaveRun = ({end}: SentAttempt): boolean => end?.kind !== 'notRun';

function silentFor(request: Partial<ForwardedRequest> = {}): Script {
  const silent = {kind: 'silent', streamBegun: false} as const;
  return {
    request: {kind: 'safe', resumable: false, attempts: 2, ...request},
    reports: [{from: 0, outcome: {...silent, lastEventId: undefined}}],
    interrupted: [],
    places: 12,
    repeats: 12,
    lateRepeats: 0,
  };
}

test('a request that may not be retried is never sent again after it may have run', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {kind, resumable} = script.request;
      fc.pre(kind === 'unsafe' || (kind === 'stream' && !resumable));
      const {sent} = runScript(script);
      for (const {earlierRuns} of sent) expect(earlierRuns).toBe(0);
      expect(sent.slice(0, -1).filter(mayHaveRun)).toEqual([]);
    }),
    propertyRuns,
  );
});

test('"not run" is reported only if nothing may have run', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {result, sent} = runScript(script);
      if (result.kind === 'notRun') expect(sent.filter(mayHaveRun)).toEqual([]);
    }),
    propertyRuns,
  );
});

test('names the cause of the attempt that may have run', () => {
  const {result} = runScript({
    ...silentFor(),
    reports: [{from: 0, outcome: {kind: 'unknown', cause: 'foreignAnswer'}}],
    places: 1,
    repeats: 1,
  });
  expect(result).toEqual({kind: 'unknown', cause: 'foreignAnswer'});
});

test('a request runs at no more targets than its route allows', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {sent} = runScript(script);
      const runs = sent.filter(mayHaveRun).length;
      expect(runs).toBeLessThanOrEqual(script.request.attempts);
      const reached = sent.filter(isReached).length;
      expect(reached).toBeLessThanOrEqual(script.request.attempts + 2);
    }),
    propertyRuns,
  );
});

test('no more attempts arrive beyond the first than were charged as retries', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {sent, charged} = runScript(script);
      const arrivals = sent.filter(mayHaveReachedTarget).length;
      expect(Math.max(0, arrivals - 1)).toBeLessThanOrEqual(charged);
    }),
    propertyRuns,
  );
});

test('targets that are not reached cost no retry', () => {
  const cause = 'connectionRefused';
  const refused = {from: 0, outcome: {kind: 'notRun', cause}} as const;
  const answered = {
    from: 0,
    outcome: {kind: 'answered', success: true},
  } as const;
  const {result, sent, charged} = runScript({
    ...silentFor(),
    reports: [...Array.from({length: 6}, () => refused), answered],
    repeats: 0,
  });
  expect(result).toEqual({kind: 'passOn'});
  expect(sent).toHaveLength(7);
  expect(charged).toBe(0);
});

test('a stream that has begun is resumed after its last event or cut', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {result, sent, streamBegun} = runScript(script);
      if (!streamBegun) return;
      expect(['streamed', 'cut', 'timedOut', 'callerGone']).toContain(
        result.kind,
      );
      for (const attempt of sent.filter(attempt => attempt.streamBegun)) {
        expect(attempt.resumeAfter).toBeDefined();
      }
    }),
    propertyRuns,
  );
});

test('no attempt in flight is given up except for an answer, the deadline or the caller', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {leftInFlight, lastReport} = runScript(script);
      if (leftInFlight === 0) return;
      expect(['timedOut', 'callerGone']).toContain(lastReport?.kind);
    }),
    propertyRuns,
  );
});

test('a request that may be retried is sent to another target alongside a silent attempt', () => {
  expect(runScript(silentFor()).sent).toHaveLength(2);
});

test('a silent attempt that may not be retried is awaited until the deadline', () => {
  for (const changes of [{kind: 'unsafe'}, {attempts: 1}] as const) {
    const {sent, result} = runScript(silentFor(changes));
    expect(sent).toHaveLength(1);
    expect(result).toEqual({kind: 'timedOut', mayHaveRun: true});
  }
});

test('a silent attempt is awaited if there is no slot or no retry', () => {
  for (const changes of [{places: 1}, {repeats: 0}]) {
    const {sent, result} = runScript({...silentFor(), ...changes});
    expect(sent).toHaveLength(1);
    expect(result).toEqual({kind: 'timedOut', mayHaveRun: true});
  }
});

test('a denied retry is made once it is allowed', () => {
  const {sent} = runScript({...silentFor(), repeats: 0, lateRepeats: 1});
  expect(sent).toHaveLength(2);
});

test('a hedge that fails leaves the silent attempt to answer', () => {
  const {result} = runScript({
    ...silentFor(),
    reports: [
      ...silentFor().reports,
      {from: 1, outcome: {kind: 'unknown', cause: 'connectionLost'}},
      {from: 0, outcome: {kind: 'answered', success: true}},
    ],
  });
  expect(result).toEqual({kind: 'passOn'});
});

test('an available answer is forwarded at the deadline', () => {
  const {result} = runScript({
    ...silentFor(),
    reports: [
      ...silentFor().reports,
      {from: 1, outcome: {kind: 'answered', success: false}},
    ],
  });
  expect(result).toEqual({kind: 'passOn'});
});

test('an attempt that resumes while a slot is awaited needs no hedge', () => {
  const {sent} = runScript({
    ...silentFor(),
    reports: [
      ...silentFor().reports,
      {from: 0, outcome: {kind: 'goesOn'}},
      {from: 0, outcome: {kind: 'answered', success: true}},
    ],
    interrupted: [false, true],
  });
  expect(sent).toHaveLength(1);
});

test('an attempt that fails alongside one that resumes is not replaced', () => {
  const {sent} = runScript({
    ...silentFor({attempts: 3}),
    reports: [
      ...silentFor().reports,
      {from: 0, outcome: {kind: 'goesOn'}},
      {from: 1, outcome: {kind: 'unknown', cause: 'connectionLost'}},
      {from: 0, outcome: {kind: 'answered', success: true}},
    ],
  });
  expect(sent).toHaveLength(2);
});

test('a stream that finds no slot at another target stays where it is', () => {
  const {sent, result} = runScript({
    ...silentFor({kind: 'stream', resumable: true}),
    reports: [
      {from: 0, outcome: {kind: 'handedOn', lastEventId: '1'}},
      {from: 0, outcome: {kind: 'streamed'}},
    ],
    places: 1,
  });
  expect(sent).toHaveLength(1);
  expect(result).toEqual({kind: 'streamed'});
});
