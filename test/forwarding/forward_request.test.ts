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

/** What a send reports; `from` picks one of those under way. */
interface ScriptedReport {
  readonly from: number;
  readonly outcome: ForwardAttemptOutcome;
}

interface Script {
  readonly request: ForwardedRequest;
  readonly reports: readonly ScriptedReport[];
  /** Whether a report comes before a place, by searches; then, never. */
  readonly interrupted: readonly boolean[];
  /** Sends for which a place is found. */
  readonly places: number;
  readonly repeats: number;
  /** Repeats that are allowed after they were denied, while sends are silent. */
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

interface PlayedAttempt {
  /** Undefined while it is under way, or if another one has won. */
  end: ForwardAttemptEnd | undefined;
  isSilent: boolean;
  readonly resumeAfter: string | undefined;
  /** Earlier sends that may have run when it was made. */
  readonly besides: number;
  readonly streamBegun: boolean;
}

interface Played {
  readonly result: ForwardResult;
  readonly sent: readonly PlayedAttempt[];
  readonly streamBegun: boolean;
  readonly lastReport: ForwardAttemptOutcome | undefined;
  readonly leftUnderWay: number;
  /** Repeats and moves that the site's budget was charged. */
  readonly charged: number;
}

/** Runs the flow against a script of reports; then the deadline comes. */
function play(script: Script): Played {
  const flow = forwardRequest<string>(script.request);
  const sent: PlayedAttempt[] = [];
  let underWay: PlayedAttempt[] = [];
  let streamBegun = false;
  let lastReport: ForwardAttemptOutcome | undefined;
  let [reports, searches, repeats, moves, late] = [0, 0, 0, 0, 0];
  let step = flow.next();
  for (let steps = 0; step.done !== true; steps += 1) {
    if (steps > MAX_STEPS) throw new Error('the flow does not end');
    step = flow.next(reply(step.value));
  }
  const leftUnderWay = underWay.length;
  const charged = Math.min(repeats, script.repeats) + moves + late;
  const ending = {lastReport, leftUnderWay, charged};
  return {result: step.value, sent, streamBegun, ...ending};

  function reply(effect: ForwardEffect<string>): ForwardReply<string> {
    switch (effect.kind) {
      case 'choosePlace':
        return choosePlace();
      case 'send': {
        const send: PlayedAttempt = {
          end: undefined,
          isSilent: false,
          resumeAfter: effect.resumeAfter,
          besides: sent.filter(mayHaveRun).length,
          streamBegun,
        };
        sent.push(send);
        underWay.push(send);
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

  function choosePlace(): ForwardReply<string> {
    const isInterrupted = script.interrupted[searches] === true;
    searches += 1;
    if (isInterrupted && underWay.length > 0) return report();
    const place =
      sent.length < script.places
        ? ({kind: 'place', target: 'target'} as const)
        : ({kind: 'noPlace', reason: 'allFull', retryAfter: 100} as const);
    return {kind: 'placed', place};
  }

  function report(): AttemptReport {
    if (underWay.length === 0) throw new Error('waits for nothing');
    const {from, outcome} = script.reports[reports] ?? {
      from: 0,
      outcome: {kind: 'timedOut'},
    };
    reports += 1;
    lastReport = outcome;
    recordOutcome(underWay[from % underWay.length]!, outcome);
    const silent = underWay.filter(({isSilent}) => isSilent).length;
    return {kind: 'sent', outcome, attemptsInFlight: underWay.length, silent};
  }

  function recordOutcome(
    send: PlayedAttempt,
    outcome: ForwardAttemptOutcome,
  ): void {
    if (outcome.kind === 'silent') {
      send.isSilent = true;
      streamBegun ||= outcome.streamBegun;
    } else if (outcome.kind === 'goesOn') {
      send.isSilent = false;
    } else if (outcome.kind === 'handedOn') {
      streamBegun = true;
      moves += 1;
    } else {
      recordEnd(send, outcome);
    }
  }

  function recordEnd(send: PlayedAttempt, end: ForwardAttemptEnd): void {
    send.end = end;
    streamBegun ||= end.kind === 'broken';
    const hasWon =
      end.kind === 'streamed' || (end.kind === 'answered' && end.success);
    underWay = hasWon ? [] : underWay.filter(other => other !== send);
  }
}

const UNREACHED = ['notConnected', 'connectionRefused'];

/** Whether there was a connection to the send's target. */
function isReached({end}: PlayedAttempt): boolean {
  return end?.kind !== 'notRun' || !UNREACHED.includes(end.cause);
}

/** Whether anything of the request may have reached the send's target. */
function mayHaveReachedTarget(send: PlayedAttempt): boolean {
  if (send.end?.kind === 'notRun' && send.end.cause === 'outdated') {
    return false;
  }
  return isReached(send);
}

const mayHaveRun = ({end}: PlayedAttempt): boolean => end?.kind !== 'notRun';

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

test('a request that may not repeat is never sent again after it may have run', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {kind, resumable} = script.request;
      fc.pre(kind === 'unsafe' || (kind === 'stream' && !resumable));
      const {sent} = play(script);
      for (const {besides} of sent) expect(besides).toBe(0);
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

test('names the cause of the attempt that may have run', () => {
  const {result} = play({
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
      const {sent} = play(script);
      const runs = sent.filter(mayHaveRun).length;
      expect(runs).toBeLessThanOrEqual(script.request.attempts);
      const reached = sent.filter(isReached).length;
      expect(reached).toBeLessThanOrEqual(script.request.attempts + 2);
    }),
    propertyRuns,
  );
});

test('no more arrivals beyond the first than were charged as repeats', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {sent, charged} = play(script);
      const arrivals = sent.filter(mayHaveReachedTarget).length;
      expect(Math.max(0, arrivals - 1)).toBeLessThanOrEqual(charged);
    }),
    propertyRuns,
  );
});

test('targets that are not reached cost no repeat', () => {
  const cause = 'connectionRefused';
  const refused = {from: 0, outcome: {kind: 'notRun', cause}} as const;
  const answered = {
    from: 0,
    outcome: {kind: 'answered', success: true},
  } as const;
  const {result, sent, charged} = play({
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
      const {result, sent, streamBegun} = play(script);
      if (!streamBegun) return;
      expect(['streamed', 'cut', 'timedOut', 'callerGone']).toContain(
        result.kind,
      );
      for (const send of sent.filter(send => send.streamBegun)) {
        expect(send.resumeAfter).toBeDefined();
      }
    }),
    propertyRuns,
  );
});

test('no send under way is given up but for an answer, the deadline or the caller', () => {
  fc.assert(
    fc.property(scripts, script => {
      const {leftUnderWay, lastReport} = play(script);
      if (leftUnderWay === 0) return;
      expect(['timedOut', 'callerGone']).toContain(lastReport?.kind);
    }),
    propertyRuns,
  );
});

test('a request that may be repeated is sent elsewhere beside a silent send', () => {
  expect(play(silentFor()).sent).toHaveLength(2);
});

test('a silent send that may not be repeated is waited for until the deadline', () => {
  for (const changes of [{kind: 'unsafe'}, {attempts: 1}] as const) {
    const {sent, result} = play(silentFor(changes));
    expect(sent).toHaveLength(1);
    expect(result).toEqual({kind: 'timedOut', mayHaveRun: true});
  }
});

test('a silent send is waited for without a place or a repeat', () => {
  for (const changes of [{places: 1}, {repeats: 0}]) {
    const {sent, result} = play({...silentFor(), ...changes});
    expect(sent).toHaveLength(1);
    expect(result).toEqual({kind: 'timedOut', mayHaveRun: true});
  }
});

test('a repeat that was denied is made once it is allowed', () => {
  const {sent} = play({...silentFor(), repeats: 0, lateRepeats: 1});
  expect(sent).toHaveLength(2);
});

test('a second send that fails leaves the silent one to answer', () => {
  const {result} = play({
    ...silentFor(),
    reports: [
      ...silentFor().reports,
      {from: 1, outcome: {kind: 'unknown', cause: 'connectionLost'}},
      {from: 0, outcome: {kind: 'answered', success: true}},
    ],
  });
  expect(result).toEqual({kind: 'passOn'});
});

test('an answer at hand is passed on at the deadline', () => {
  const {result} = play({
    ...silentFor(),
    reports: [
      ...silentFor().reports,
      {from: 1, outcome: {kind: 'answered', success: false}},
    ],
  });
  expect(result).toEqual({kind: 'passOn'});
});

test('a send that goes on while a place is waited for needs no other one', () => {
  const {sent} = play({
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

test('a send that fails beside one that goes on is not replaced', () => {
  const {sent} = play({
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

test('a stream that finds no place away from its target stays there', () => {
  const {sent, result} = play({
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
