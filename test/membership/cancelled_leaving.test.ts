import {createMembership, type Liveness} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';

const IDENTITY = {
  instance: 'engine-1',
  role: 'agent',
  address: '10.0.0.1:7400',
  zone: 'bilbao-hall',
  region: 'east',
} as const;

const INCARNATION = 3;

function liveMembership() {
  const membership = createMembership('entry-1');
  membership.list([{...IDENTITY, state: 'live'}], 0);
  membership.hello(IDENTITY, INCARNATION, 1);
  return membership;
}

interface Heartbeat {
  readonly sequence: number;
  readonly leaving: boolean;
}

function livenessAfter(
  heartbeats: readonly Heartbeat[],
  before: (membership: ReturnType<typeof liveMembership>) => void = () =>
    undefined,
): Liveness | undefined {
  const membership = liveMembership();
  let now = 10;
  for (const [index, heartbeat] of heartbeats.entries()) {
    if (index === heartbeats.length - 1) before(membership);
    now += 100;
    const {instance} = IDENTITY;
    const incarnation = INCARNATION;
    membership.heartbeat({instance, incarnation, ...heartbeat}, now);
  }
  return membership.livenessOf(IDENTITY.instance);
}

const LEAVES = {sequence: 1, leaving: true};
const STAYS = {sequence: 2, leaving: false};

// An operator makes a target leave and then changes their mind. Its agent,
// never stopped, reports first one and then the other. If it stayed excluded,
// the target would get no work until its agent is restarted.
describe('an instance that cancels its leaving', () => {
  test('is live again', () => {
    expect(livenessAfter([LEAVES])).toBe('leaving');
    expect(livenessAfter([LEAVES, STAYS])).toBe('live');
  });

  test('stays excluded while the list reports it as leaving', () => {
    const listed = [{...IDENTITY, state: 'leaving'} as const];
    const end = livenessAfter([LEAVES, STAYS], membership =>
      membership.list(listed, 150),
    );
    expect(end).toBe('leaving');
  });

  test('stays excluded once it has sent a goodbye', () => {
    const {instance} = IDENTITY;
    const end = livenessAfter([LEAVES, STAYS], membership =>
      membership.goodbye(instance, INCARNATION, 150),
    );
    expect(end).toBe('leaving');
  });

  test('has the state of its newest heartbeat, in whichever order heartbeats arrive', () => {
    const heartbeats = fc.uniqueArray(
      fc.record({sequence: fc.nat(30), leaving: fc.boolean()}),
      {selector: ({sequence}) => sequence, minLength: 1},
    );
    fc.assert(
      fc.property(heartbeats, sent => {
        const newest = sent.reduce((left, right) =>
          left.sequence > right.sequence ? left : right,
        );
        const expected = newest.leaving ? 'leaving' : 'live';
        expect(livenessAfter(sent)).toBe(expected);
      }),
      propertySettings(500),
    );
  });
});
