import {
  createAttemptRegistry,
  formatAttempt,
  parseAttempt,
  type AttemptRegistryOptions,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {answerTo} from './fake_agent';

const INCARNATION = 3;

const bounds: fc.Arbitrary<AttemptRegistryOptions> = fc.record({
  incarnation: fc.constant(INCARNATION),
  maximumRunning: fc.integer({min: 1, max: 3}),
  maximumRecords: fc.integer({min: 1, max: 4}),
  maximumSenders: fc.integer({min: 1, max: 3}),
  answerBytes: fc.constantFrom(0, 1000, 5000),
  answerRetention: fc.constant(50),
  retryAfter: fc.constant(10),
});
const step = fc.record({
  kind: fc.constantFrom('start', 'start', 'finish', 'tombstone', 'leave'),
  sender: fc.nat(3),
  sequence: fc.nat(6),
  incarnation: fc.constantFrom(INCARNATION, INCARNATION, INCARNATION, 2),
  answered: fc.boolean(),
});

// Messages to an agent arrive late and twice. An agent that forgets a finished
// or tombstoned attempt, to bound its memory, would run it again.
describe('an attempt registry', () => {
  test('starts each attempt at most once and never after reporting it as not run', () => {
    fc.assert(
      fc.property(bounds, fc.array(step, {maxLength: 60}), (options, steps) => {
        const registry = createAttemptRegistry(options);
        const started = new Set<string>();
        const reportedNotRun = new Set<string>();
        steps.forEach((chosen, now) => {
          const {sender, sequence, incarnation} = chosen;
          const attempt = formatAttempt({sender: `entry-${sender}`, sequence});
          switch (chosen.kind) {
            case 'start': {
              const decision = registry.start(attempt, incarnation, now);
              if (decision.kind === 'refused') reportedNotRun.add(attempt);
              if (decision.kind === 'refused') {
                expect(started).not.toContain(attempt);
              }
              if (decision.kind !== 'start') break;
              expect(incarnation).toBe(INCARNATION);
              expect(started).not.toContain(attempt);
              expect(reportedNotRun).not.toContain(attempt);
              started.add(attempt);
              break;
            }
            case 'tombstone': {
              const {state} = registry.tombstone(attempt, incarnation);
              if (state !== 'tombstoned') break;
              expect(started).not.toContain(attempt);
              reportedNotRun.add(attempt);
              break;
            }
            case 'finish': {
              const answer = answerTo(attempt, 'text');
              const kept = chosen.answered ? answer : undefined;
              registry.finish(attempt, kept, now);
              break;
            }
            case 'leave':
              registry.setLeaving(chosen.answered);
              break;
          }
          if (chosen.kind === 'start' && chosen.answered) {
            // The target itself refused: it never did any of the work.
            const away = registry.recordTargetRefusal(attempt, 'queueFull');
            if (away !== undefined) {
              started.delete(attempt);
              reportedNotRun.add(attempt);
            }
          }
          const {running, records, senders, answerBytes} = registry.sizes();
          expect(running).toBeLessThanOrEqual(options.maximumRunning);
          expect(records).toBeLessThanOrEqual(options.maximumRecords);
          expect(senders).toBeLessThanOrEqual(options.maximumSenders);
          expect(answerBytes).toBeLessThanOrEqual(options.answerBytes);
        });
      }),
      propertySettings(5000),
    );
  });

  test('starts no new attempts while leaving, but finishes the running ones', () => {
    const registry = createAttemptRegistry({
      incarnation: INCARNATION,
      maximumRunning: 9,
      maximumRecords: 9,
      maximumSenders: 9,
      answerBytes: 5000,
      answerRetention: 50,
      retryAfter: 10,
    });
    expect(registry.start('entry#1', INCARNATION, 0).kind).toBe('start');
    registry.setLeaving(true);
    const refused = registry.start('entry#2', INCARNATION, 1);
    expect(refused).toMatchObject({
      kind: 'refused',
      event: {reason: 'targetLeaving', incarnation: INCARNATION},
    });
    const answer = answerTo('entry#1', 'text');
    registry.finish('entry#1', answer, 2);
    expect(registry.collect('entry#1', INCARNATION, 3)).toEqual(answer);
    expect(registry.collect('entry#1', INCARNATION, 52)).toBeUndefined();
  });

  test('parses every attempt identifier that it can format', () => {
    fc.assert(
      fc.property(
        fc.string({minLength: 1}),
        fc.maxSafeNat(),
        (sender, sequence) => {
          const parts = {sender, sequence};
          expect(parseAttempt(formatAttempt(parts))).toEqual(parts);
        },
      ),
      propertySettings(500),
    );
  });
});
