import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createKnownProcesses} from '../../packages/daemon/src/site/known_processes';
import {propertySettings} from '../fixtures/property_settings';

const FROZEN = {instance: 'engine-3', address: '10.0.1.3:7400'};

const helloOf = (incarnation: number) => ({...FROZEN, incarnation});

const names = (acquaintances: ReturnType<typeof createKnownProcesses>) =>
  acquaintances.all().map(({instance}) => instance);

describe('acquaintances', () => {
  // An agent freezes, and the list drops it for a moment or the platform is
  // down for minutes. If a move forgot the agent and opened, the agent would
  // resume and its target would get orders from two systems.
  test('keep an instance until the list has not contained it for 30 s without interruption', () => {
    const step = fc.record({
      pause: fc.integer({min: 1, max: 20_000}),
      isListed: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 20}), steps => {
        const acquaintances = createKnownProcesses();
        acquaintances.hello(helloOf(1));
        let now = 0;
        let absentFrom: number | undefined;
        let isOut = false;
        for (const {pause, isListed} of steps) {
          now += pause;
          acquaintances.list(isListed ? [FROZEN.instance] : [], now);
          absentFrom = isListed ? undefined : (absentFrom ?? now);
          const absence = absentFrom === undefined ? 0 : now - absentFrom;
          isOut ||= absence >= 30_000;
          expect(acquaintances.delistedFor(FROZEN.instance)).toBe(absence);
          expect(names(acquaintances)).toEqual(isOut ? [] : ['engine-3']);
        }
      }),
      propertySettings(300),
    );
  });

  test('forget an instance after its goodbye, but not after one of an earlier incarnation', () => {
    const acquaintances = createKnownProcesses();
    acquaintances.hello(helloOf(2));
    acquaintances.goodbye(FROZEN.instance, 1);
    expect(names(acquaintances)).toEqual(['engine-3']);
    acquaintances.goodbye(FROZEN.instance, 2);
    expect(names(acquaintances)).toEqual([]);
  });
});
