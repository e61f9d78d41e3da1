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

interface World {
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

function createWorld(): World {
  const members = createMembership('entry-1');
  const world = {members, now: 0, sequence: 0, incarnation: 1};
  members.hello(AGENT, 1, 0);
  return world;
}

function advanceTime(world: World, duration: number): void {
  const end = world.now + duration;
  while (world.now < end) {
    world.now = Math.min(end, world.now + TICK_PERIOD);
    world.members.tick(world.now);
  }
}

function sendHeartbeat(world: World, leaving = false): void {
  const {members, incarnation} = world;
  world.sequence += 1;
  const {sequence} = world;
  const {instance} = AGENT;
  members.heartbeat({instance, incarnation, sequence, leaving}, world.now);
}

function apply(world: World, event: Event, duration: number): void {
  const {members, incarnation} = world;
  switch (event) {
    case 'heartbeat':
      sendHeartbeat(world);
      break;
    case 'hello':
      members.hello(AGENT, incarnation, world.now);
      break;
    case 'doubled':
      world.sequence -= 1;
      sendHeartbeat(world);
      break;
    case 'sessionLost':
      members.sessionLost(AGENT.instance, incarnation, world.now);
      break;
    case 'listLive':
      members.list([{...AGENT, state: 'live'}], world.now);
      break;
    case 'listNone':
      members.list([], world.now);
      break;
    case 'silence':
      advanceTime(world, duration * 10);
      break;
    case 'ownPause':
      world.now += duration * 10;
      break;
    case 'restart':
      world.incarnation += 1;
      members.hello(AGENT, world.incarnation, world.now);
      break;
  }
  advanceTime(world, duration);
}

function liveness(world: World): Liveness | undefined {
  return world.members.livenessOf(AGENT.instance);
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
): World {
  const world = createWorld();
  for (const {event, duration} of taken) apply(world, event, duration);
  return world;
}

describe('the membership', () => {
  // Callers wait for their deadline: requests still go to an instance that
  // died, since something old was taken for a sign of life.
  test('takes a dead instance out of routing within its bound', () => {
    fc.assert(
      fc.property(events, taken => {
        const world = applyAll(taken);
        sendHeartbeat(world);
        const late: Event[] = ['doubled', 'listLive', 'doubled', 'listLive'];
        for (const event of late) apply(world, event, HEARTBEAT_PERIOD / 2);
        advanceTime(world, SUSPECT_AFTER + TICK_PERIOD - 2 * HEARTBEAT_PERIOD);
        expect(liveness(world)).not.toBe('live');
        advanceTime(world, DEAD_AFTER - SUSPECT_AFTER);
        expect(liveness(world)).toBe('dead');
      }),
      propertySettings(500),
    );
  });

  // An instance that works well gets no work for ever: the list, a lost
  // session or a pause had taken it out, and nothing brought it back.
  test('never keeps a live instance out beyond its bound', () => {
    fc.assert(
      fc.property(events, taken => {
        const world = applyAll(taken);
        world.members.hello(AGENT, world.incarnation, world.now);
        const beats = (MAX_HOLD_DOWN + SUSPECT_AFTER) / HEARTBEAT_PERIOD + 1;
        for (let count = 0; count < beats; count += 1) {
          apply(world, 'heartbeat', HEARTBEAT_PERIOD);
        }
        expect(liveness(world)).toBe('live');
      }),
      propertySettings(500),
    );
  });

  test('takes an instance back within its longest hold after many falls', () => {
    const world = createWorld();
    for (let fall = 0; fall < 8; fall += 1) {
      apply(world, 'sessionLost', HEARTBEAT_PERIOD);
      const start = world.now;
      while (liveness(world) !== 'live' && world.now < 10 * MAX_HOLD_DOWN) {
        apply(world, 'heartbeat', HEARTBEAT_PERIOD);
      }
      const most = MAX_HOLD_DOWN + 2 * HEARTBEAT_PERIOD;
      expect(world.now - start).toBeLessThanOrEqual(most);
    }
  });

  // Requests to one instance fail again and again: its link breaks each second
  // second, and each time it came back it got work at once.
  test('damps an instance that comes and goes', () => {
    // Holds of 2, 4, 8, 16, 32 and 32 s: the seventh return is too late.
    const MAX_RETURNS = 6;
    fc.assert(
      fc.property(
        fc.array(fc.nat({max: 8}), {minLength: 40, maxLength: 200}),
        beats => {
          const world = createWorld();
          const returns: number[] = [];
          for (const count of beats) {
            for (let each = 0; each <= count; each += 1) {
              const before = liveness(world);
              apply(world, 'heartbeat', HEARTBEAT_PERIOD);
              if (before !== 'live' && liveness(world) === 'live') {
                returns.push(world.now);
              }
            }
            apply(world, 'sessionLost', TICK_PERIOD);
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

  // A leaving instance gets new work again: the late list still called it
  // live, or a message of it came late.
  test('lets nothing of the same life bring back one that said goodbye', () => {
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
        const world = applyAll(taken);
        const {members, incarnation, now} = world;
        members.goodbye(AGENT.instance, incarnation, now);
        for (const event of after) {
          apply(world, event, HEARTBEAT_PERIOD);
          expect(liveness(world) ?? 'leaving').toBe('leaving');
        }
      }),
      propertySettings(300),
    );
  });

  test('takes back a later life of one that said goodbye', () => {
    const world = createWorld();
    world.members.goodbye(AGENT.instance, 1, world.now);
    apply(world, 'restart', HEARTBEAT_PERIOD);
    expect(liveness(world)).toBe('live');
    world.members.goodbye(AGENT.instance, 1, world.now);
    expect(liveness(world)).toBe('live');
  });

  // All instances fall at once: this process was paused and took its own
  // silence for theirs.
  test('does not blame others for a pause of its own', () => {
    const world = createWorld();
    apply(world, 'heartbeat', HEARTBEAT_PERIOD);
    world.now += 10 * DEAD_AFTER;
    world.members.tick(world.now);
    expect(liveness(world)).toBe('live');
    advanceTime(world, SUSPECT_AFTER);
    expect(liveness(world)).toBe('suspect');
  });

  test('adds candidates from the list and takes its word on leaving', () => {
    const world = createWorld();
    const other = {...AGENT, instance: 'agent-2'};
    const list = (state: 'live' | 'leaving'): void =>
      world.members.list([{...other, state}], world.now);
    list('live');
    expect(world.members.livenessOf('agent-2')).toBe('joining');
    world.members.hello(other, 4, world.now);
    list('leaving');
    expect(world.members.livenessOf('agent-2')).toBe('leaving');
    // The next start of the same instance is live, though the list is late.
    world.members.hello(other, 5, world.now);
    list('leaving');
    expect(world.members.livenessOf('agent-2')).toBe('live');
  });

  test('asks a stranger for its hello and believes its leaving heartbeat', () => {
    const world = createWorld();
    const heartbeat = {incarnation: 1, sequence: 1, leaving: false};
    const verdict = world.members.heartbeat(
      {...heartbeat, instance: 'agent-9'},
      0,
    );
    expect(verdict).toBe('needsHello');
    sendHeartbeat(world, true);
    expect(liveness(world)).toBe('leaving');
  });

  // An entry that holds no session with an instance learns of its state from
  // those that do, and not from one that died since.
  test('learns of others from live tellers by changes alone', () => {
    fc.assert(
      fc.property(events, fc.nat({max: 60}), (taken, asked) => {
        const reporter = createWorld();
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
