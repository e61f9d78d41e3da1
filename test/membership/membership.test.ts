import {
  createMembership,
  DEAD_AFTER,
  FORGET_FLAPS_AFTER,
  HEARTBEAT_PERIOD,
  MAX_HOLD_DOWN,
  SUSPECT_AFTER,
  TICK_PERIOD,
  type Liveness,
  type Membership,
  type MemberIdentity,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';

const AGENT: MemberIdentity = {
  instance: 'agent-1',
  role: 'agent',
  address: '127.0.0.1:7000',
  zone: 'hobart',
  region: 'tasmania',
};

interface Harness {
  readonly members: Membership;
  now: number;
  sequence: number;
  incarnation: number;
}

type Event =
  | 'heartbeat'
  | 'hello'
  | 'doubled'
  | 'sessionLost'
  | 'listLive'
  | 'listNone'
  | 'silence'
  | 'ownPause'
  | 'restart';

function createHarness(): Harness {
  const members = createMembership('entry-1');
  const harness = {members, now: 0, sequence: 0, incarnation: 1};
  members.hello(AGENT, 1, 0);
  return harness;
}

function advanceTime(harness: Harness, duration: number): void {
  const end = harness.now + duration;
  while (harness.now < end) {
    harness.now = Math.min(end, harness.now + TICK_PERIOD);
    harness.members.tick(harness.now);
  }
}

function sendHeartbeat(harness: Harness, leaving = false): void {
  const {members, incarnation} = harness;
  harness.sequence += 1;
  const {sequence} = harness;
  const {instance} = AGENT;
  members.heartbeat({instance, incarnation, sequence, leaving}, harness.now);
}

function apply(harness: Harness, event: Event, duration: number): void {
  const {members, incarnation} = harness;
  switch (event) {
    case 'heartbeat':
      sendHeartbeat(harness);
      break;
    case 'hello':
      members.hello(AGENT, incarnation, harness.now);
      break;
    case 'doubled':
      harness.sequence -= 1;
      sendHeartbeat(harness);
      break;
    case 'sessionLost':
      members.sessionLost(AGENT.instance, incarnation, harness.now);
      break;
    case 'listLive':
      members.list([{...AGENT, state: 'live'}], harness.now);
      break;
    case 'listNone':
      members.list([], harness.now);
      break;
    case 'silence':
      advanceTime(harness, duration * 10);
      break;
    case 'ownPause':
      harness.now += duration * 10;
      break;
    case 'restart':
      harness.incarnation += 1;
      members.hello(AGENT, harness.incarnation, harness.now);
      break;
  }
  advanceTime(harness, duration);
}

function liveness(harness: Harness): Liveness | undefined {
  return harness.members.livenessOf(AGENT.instance);
}

const events = fc.array(
  fc.record({
    event: fc.constantFrom<Event>(
      'heartbeat',
      'heartbeat',
      'heartbeat',
      'hello',
      'doubled',
      'sessionLost',
      'listLive',
      'listNone',
      'silence',
      'ownPause',
      'restart',
    ),
    duration: fc.oneof(
      fc.constant(HEARTBEAT_PERIOD),
      fc.nat({max: 2 * HEARTBEAT_PERIOD}),
    ),
  }),
  {maxLength: 60},
);

function applyAll(
  taken: readonly {readonly event: Event; readonly duration: number}[],
): Harness {
  const harness = createHarness();
  for (const {event, duration} of taken) apply(harness, event, duration);
  return harness;
}

describe('the membership', () => {
  // If an old message counted as a sign of life, requests would still go to a
  // dead instance and wait for their deadline.
  test('removes a dead instance from routing within its time limit', () => {
    fc.assert(
      fc.property(events, taken => {
        const harness = applyAll(taken);
        sendHeartbeat(harness);
        const late: Event[] = ['doubled', 'listLive', 'doubled', 'listLive'];
        for (const event of late) apply(harness, event, HEARTBEAT_PERIOD / 2);
        advanceTime(
          harness,
          SUSPECT_AFTER + TICK_PERIOD - 2 * HEARTBEAT_PERIOD,
        );
        expect(liveness(harness)).not.toBe('live');
        advanceTime(harness, DEAD_AFTER - SUSPECT_AFTER);
        expect(liveness(harness)).toBe('dead');
      }),
      propertySettings(500),
    );
  });

  // The list, a lost session or a pause may exclude an instance. If nothing
  // brought it back, a healthy instance would never get work again.
  test('never excludes a live instance beyond its time limit', () => {
    fc.assert(
      fc.property(events, taken => {
        const harness = applyAll(taken);
        harness.members.hello(AGENT, harness.incarnation, harness.now);
        const heartbeats =
          (MAX_HOLD_DOWN + SUSPECT_AFTER) / HEARTBEAT_PERIOD + 1;
        for (let count = 0; count < heartbeats; count += 1) {
          apply(harness, 'heartbeat', HEARTBEAT_PERIOD);
        }
        expect(liveness(harness)).toBe('live');
      }),
      propertySettings(500),
    );
  });

  test('readmits an instance within the maximum hold-down after many flaps', () => {
    const harness = createHarness();
    for (let flap = 0; flap < 8; flap += 1) {
      apply(harness, 'sessionLost', HEARTBEAT_PERIOD);
      const start = harness.now;
      while (liveness(harness) !== 'live' && harness.now < 10 * MAX_HOLD_DOWN) {
        apply(harness, 'heartbeat', HEARTBEAT_PERIOD);
      }
      const maxTime = MAX_HOLD_DOWN + 2 * HEARTBEAT_PERIOD;
      expect(harness.now - start).toBeLessThanOrEqual(maxTime);
    }
  });

  // If an instance with a link that breaks every other second got work
  // immediately after each return, requests to it would fail again and again.
  test('limits how often a flapping instance returns', () => {
    // Hold-downs of 2, 4, 8, 16, 32 and 32 s: the seventh return is too late.
    const MAX_RETURNS = 6;
    fc.assert(
      fc.property(
        fc.array(fc.nat({max: 8}), {minLength: 40, maxLength: 200}),
        heartbeats => {
          const harness = createHarness();
          const returns: number[] = [];
          for (const count of heartbeats) {
            for (let each = 0; each <= count; each += 1) {
              const before = liveness(harness);
              apply(harness, 'heartbeat', HEARTBEAT_PERIOD);
              if (before !== 'live' && liveness(harness) === 'live') {
                returns.push(harness.now);
              }
            }
            apply(harness, 'sessionLost', TICK_PERIOD);
          }
          for (const start of returns) {
            const within = returns.filter(
              at => at >= start && at < start + FORGET_FLAPS_AFTER,
            );
            expect(within.length).toBeLessThanOrEqual(MAX_RETURNS);
          }
        },
      ),
      propertySettings(100),
    );
  });

  // The list still contains a leaving instance as live, or one of its messages
  // arrives late. It must not get new work again.
  test('ignores late messages of an incarnation that has sent a goodbye', () => {
    const late = fc.array(
      fc.constantFrom<Event>(
        'heartbeat',
        'hello',
        'doubled',
        'listLive',
        'listNone',
        'sessionLost',
        'silence',
        'ownPause',
      ),
      {maxLength: 30},
    );
    fc.assert(
      fc.property(events, late, (taken, after) => {
        const harness = applyAll(taken);
        const {members, incarnation, now} = harness;
        members.goodbye(AGENT.instance, incarnation, now);
        for (const event of after) {
          apply(harness, event, HEARTBEAT_PERIOD);
          expect(liveness(harness) ?? 'leaving').toBe('leaving');
        }
      }),
      propertySettings(300),
    );
  });

  test('readmits a later incarnation after a goodbye', () => {
    const harness = createHarness();
    harness.members.goodbye(AGENT.instance, 1, harness.now);
    apply(harness, 'restart', HEARTBEAT_PERIOD);
    expect(liveness(harness)).toBe('live');
    harness.members.goodbye(AGENT.instance, 1, harness.now);
    expect(liveness(harness)).toBe('live');
  });

  // After a pause, this process must not take its own silence for that of the
  // others, or all instances would become suspect at once.
  test('does not count its own pause as silence of the others', () => {
    const harness = createHarness();
    apply(harness, 'heartbeat', HEARTBEAT_PERIOD);
    harness.now += 10 * DEAD_AFTER;
    harness.members.tick(harness.now);
    expect(liveness(harness)).toBe('live');
    advanceTime(harness, SUSPECT_AFTER);
    expect(liveness(harness)).toBe('suspect');
  });

  test('adds candidates from the list and trusts it on leaving instances', () => {
    const harness = createHarness();
    const other = {...AGENT, instance: 'agent-2'};
    const list = (state: 'live' | 'leaving'): void =>
      harness.members.list([{...other, state}], harness.now);
    list('live');
    expect(harness.members.livenessOf('agent-2')).toBe('joining');
    harness.members.hello(other, 4, harness.now);
    list('leaving');
    expect(harness.members.livenessOf('agent-2')).toBe('leaving');
    // The next incarnation of the same instance is live, although the list
    // lags.
    harness.members.hello(other, 5, harness.now);
    list('leaving');
    expect(harness.members.livenessOf('agent-2')).toBe('live');
  });

  test('requests a hello from an unknown instance and accepts a leaving heartbeat', () => {
    const harness = createHarness();
    const heartbeat = {incarnation: 1, sequence: 1, leaving: false};
    const verdict = harness.members.heartbeat(
      {...heartbeat, instance: 'agent-9'},
      0,
    );
    expect(verdict).toBe('needsHello');
    sendHeartbeat(harness, true);
    expect(liveness(harness)).toBe('leaving');
  });

  // An entry without a session to an instance learns of its state from
  // processes that have one, but not from one that has died since.
  test('learns of others from changes that live processes report', () => {
    fc.assert(
      fc.property(events, fc.nat({max: 60}), (taken, asked) => {
        const reporter = createHarness();
        const listener = createMembership('entry-2');
        const entry = {...AGENT, instance: 'entry-1', role: 'entry'} as const;
        listener.hello(entry, 1, 0);
        let position = 0;
        const ask = (): void => {
          const delta = reporter.members.changesSince(position);
          listener.applyDelta('entry-1', delta);
          position = delta.latest;
        };
        taken.forEach(({event, duration}, index) => {
          apply(reporter, event, duration);
          if (index === asked) ask();
        });
        ask();
        const reported = listener.livenessOf(AGENT.instance);
        const known = liveness(reporter);
        if (known !== 'joining') expect(reported).toBe(known);
        listener.goodbye('entry-1', 1, 1);
        expect(listener.livenessOf(AGENT.instance)).toBeUndefined();
      }),
      propertySettings(200),
    );
  });
});
