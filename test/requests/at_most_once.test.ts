import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {answerTo} from './fake_agent';
import {
  runSimulation,
  type Call,
  type SimulationReport,
} from './request_simulation';

const choices = fc.array(
  fc.record({which: fc.nat(10_000), how: fc.nat(10_000)}),
  {minLength: 5, maxLength: 60, size: 'max'},
);
const bounds = fc.record({
  maximumRecords: fc.integer({min: 1, max: 20}),
  maximumRunning: fc.integer({min: 1, max: 3}),
  answerBytes: fc.constantFrom(0, 100_000),
  inlineAnswerBytes: fc.constantFrom(0, 100_000),
});

const RUNS = 1500;

function checkEverySimulation(check: (report: SimulationReport) => void): void {
  fc.assert(
    fc.property(choices, bounds, (chosen, bound) => {
      check(runSimulation(chosen, bound));
    }),
    propertySettings(RUNS),
  );
}

function textsOf(call: Call): readonly string[] {
  const frames = call.result?.answer?.frames ?? [];
  return frames.map(frame => new TextDecoder().decode(frame));
}

function isAnswered(call: Call): boolean {
  return call.result?.outcome.kind === 'answered';
}

// A caller retries a call through another entry because its answer is late.
// Meanwhile table replies get lost, entries are killed or paused, agents
// restart, and messages arrive late or twice. The call must not run twice, run
// after it was reported as not run, or return the answer to another call.
describe('an at-most-once call', () => {
  test('runs at most once per key', () => {
    checkEverySimulation(({runs}) => expect(runs).toBeLessThanOrEqual(1));
  });

  test('never runs after it was reported as not run', () => {
    checkEverySimulation(({calls, runsOf}) => {
      for (const {result, attempts} of calls) {
        if (result?.outcome.kind !== 'notRun') continue;
        expect(attempts.map(runsOf).filter(count => count > 0)).toEqual([]);
      }
    });
  });

  test('gets exactly its own complete answer or none', () => {
    checkEverySimulation(({calls}) => {
      for (const call of calls.filter(isAnswered)) {
        const {attempt} = call.result!.answer!;
        const whole = answerTo(attempt, call.body);
        expect(call.result!.answer).toEqual(whole);
      }
    });
  });

  test('always ends', () => {
    checkEverySimulation(({calls, waiting}) => {
      expect(waiting).toBe(0);
      const open = calls.filter(({killed, result}) => !killed && !result);
      expect(open).toEqual([]);
    });
  });

  test('returns the same answer to every caller once it is recorded', () => {
    checkEverySimulation(({calls, recorded, lastRetry}) => {
      expect(new Set(recorded).size).toBeLessThanOrEqual(1);
      const answers = calls.filter(isAnswered).map(textsOf);
      for (const answer of answers) expect(answer).toEqual(answers[0]);
      if (recorded.length > 0) expect(isAnswered(lastRetry)).toBe(true);
    });
  });
});

test('the simulations reach every kind of end', () => {
  const seen = new Map<string, number>();
  fc.assert(
    fc.property(choices, bounds, (chosen, bound) => {
      for (const {result} of runSimulation(chosen, bound).calls) {
        const outcome = result?.outcome;
        const kind =
          outcome?.kind === 'notRun'
            ? `${outcome.reason} ${outcome.evidence.kind}`
            : outcome?.kind === 'outcomeUnknown'
              ? outcome.detail
              : String(outcome?.kind);
        seen.set(kind, (seen.get(kind) ?? 0) + 1);
      }
    }),
    propertySettings(500),
  );
  if (process.env.SHOW_ENDS) console.log(seen);
  for (const kind of ['answered', 'inProgress neverDispatched']) {
    expect([...seen.keys()]).toContain(kind);
  }
});
